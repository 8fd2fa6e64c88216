#include "review/stand_ins/network.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <thread>
#include <utility>

namespace teaselrudder::review {

void Network::cut(const std::string& zone) {
  m_zone = zone;
  m_is_cut = true;
}

bool Network::connects(const std::string& first, const std::string& second) const {
  return !m_is_cut || (first == m_zone) == (second == m_zone);
}

DatagramRelay::DatagramRelay(std::uint16_t target, std::function<bool()> passes) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  const int descriptor = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  if (descriptor < 0 || ::bind(descriptor, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    std::perror("cannot bind to a free port");
    std::_Exit(2);
  }
  m_port = ntohs(address.sin_port);
  address.sin_port = htons(target);
  std::thread([descriptor, address, passes = std::move(passes)] {
    std::array<char, 65536> bytes{};
    while (true) {
      const ssize_t count = ::recv(descriptor, bytes.data(), bytes.size(), 0);
      if (count > 0 && passes()) {
        ::sendto(descriptor, bytes.data(), static_cast<std::size_t>(count), 0,
                 reinterpret_cast<const sockaddr*>(&address), sizeof(address));
      }
    }
  }).detach();
}

}  // namespace teaselrudder::review
