#pragma once

#include <sys/socket.h>

#include <optional>

#include "core/ids.h"

namespace teaselrudder {

/// A socket address in the form of the system calls.
struct SocketAddress {
  sockaddr_storage storage{};
  socklen_t length = 0;

  sockaddr* get() { return reinterpret_cast<sockaddr*>(&storage); }
};

/// Converts an endpoint with an IPv4 or IPv6 address in numbers. Returns nothing for any other text.
std::optional<SocketAddress> to_socket_address(const Endpoint& endpoint);

}  // namespace teaselrudder
