#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include "core/ids.h"

namespace teaselrudder {

/// Tells whether `text` is an IPv4 or IPv6 address in numbers.
bool is_ip_address(std::string_view text);

/// Reads `ip:port`, with an IPv6 address in brackets, or returns nothing. The port is 1 to 65535.
std::optional<Endpoint> parse_endpoint(std::string_view text);

/// Reads a list of endpoints separated by commas, or returns nothing. An empty text is an empty list.
std::optional<std::vector<Endpoint>> parse_endpoints(std::string_view text);

}  // namespace teaselrudder
