#include "drivers/net/socket_address.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <cstring>

namespace teaselrudder {

std::optional<SocketAddress> to_socket_address(const Endpoint& endpoint) {
  SocketAddress address;
  sockaddr_in v4{};
  if (inet_pton(AF_INET, endpoint.ip.c_str(), &v4.sin_addr) == 1) {
    v4.sin_family = AF_INET;
    v4.sin_port = htons(endpoint.port);
    std::memcpy(&address.storage, &v4, sizeof(v4));
    address.length = sizeof(v4);
    return address;
  }
  sockaddr_in6 v6{};
  if (inet_pton(AF_INET6, endpoint.ip.c_str(), &v6.sin6_addr) == 1) {
    v6.sin6_family = AF_INET6;
    v6.sin6_port = htons(endpoint.port);
    std::memcpy(&address.storage, &v6, sizeof(v6));
    address.length = sizeof(v6);
    return address;
  }
  return std::nullopt;
}

}  // namespace teaselrudder
