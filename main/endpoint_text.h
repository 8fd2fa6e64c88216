#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include "core/ids.h"

namespace teaselrudder {

/// Returns true if `text` is a numeric IPv4 or IPv6 address.
bool is_ip_address(std::string_view text);

/// Parses `ip:port` or, for IPv6, `[ip]:port`, with a port from 1 to 65535. Returns nothing if `text` is not valid.
std::optional<Endpoint> parse_endpoint(std::string_view text);

/// Parses a comma-separated list of endpoints. An empty text is an empty list. Returns nothing if `text` is not valid.
std::optional<std::vector<Endpoint>> parse_endpoints(std::string_view text);

}  // namespace teaselrudder
