#include "drivers/postgres/socket_counters.h"

// The tcp_info of <netinet/tcp.h> lacks the byte counters. The two headers conflict, and libuv includes
// <netinet/tcp.h>, so these functions have a source file of their own.
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace teaselrudder {

std::uint64_t received_bytes(int socket) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
    return 0;
  }
  return info.tcpi_bytes_received;
}

std::uint64_t unread_bytes(int socket) {
  int unread = 0;
  if (ioctl(socket, FIONREAD, &unread) != 0 || unread < 0) {
    return 0;
  }
  return static_cast<std::uint64_t>(unread);
}

}  // namespace teaselrudder
