#pragma once

#include <sys/socket.h>

#include <optional>

#include "core/ids.h"

namespace teaselrudder {

/// A socket address in the form that system calls take.
struct SocketAddress {
  sockaddr_storage storage{};
  socklen_t length = 0;

  sockaddr* get() { return reinterpret_cast<sockaddr*>(&storage); }
};

/// Converts an endpoint to a socket address. Returns nothing if its `ip` is not a numeric IPv4 or IPv6 address.
std::optional<SocketAddress> to_socket_address(const Endpoint& endpoint);

}  // namespace teaselrudder
