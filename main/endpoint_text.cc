#include "main/endpoint_text.h"

#include <arpa/inet.h>

#include <charconv>
#include <string>

namespace teaselrudder {

bool is_ip_address(std::string_view text) {
  in6_addr address{};
  const std::string terminated(text);
  return inet_pton(AF_INET, terminated.c_str(), &address) == 1 ||
         inet_pton(AF_INET6, terminated.c_str(), &address) == 1;
}

std::optional<Endpoint> parse_endpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view ip = text.substr(0, colon);
  const bool bracketed = ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
  if (bracketed) {
    ip = ip.substr(1, ip.size() - 2);
  }
  const bool is_version_6 = ip.find(':') != std::string_view::npos;
  if (!is_ip_address(ip) || bracketed != is_version_6) {
    return std::nullopt;
  }
  const std::string_view digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size() || port == 0) {
    return std::nullopt;
  }
  return Endpoint{std::string(ip), port};
}

std::optional<std::vector<Endpoint>> parse_endpoints(std::string_view text) {
  std::vector<Endpoint> endpoints;
  while (!text.empty()) {
    const std::size_t comma = text.find(',');
    const auto endpoint = parse_endpoint(text.substr(0, comma));
    if (!endpoint || comma + 1 == text.size()) {
      return std::nullopt;
    }
    endpoints.push_back(*endpoint);
    text.remove_prefix(comma == std::string_view::npos ? text.size() : comma + 1);
  }
  return endpoints;
}

}  // namespace teaselrudder
