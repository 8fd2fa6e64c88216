#include "servers/session_host/host_entry.h"

#include <limits>

#include "core/parse_number.h"
#include "core/take_word.h"

namespace teaselrudder {

namespace {

constexpr char kStoppingMark = '!';

}  // namespace

std::string encode_host_entry(const HostEntry& entry) {
  return entry.evidence_endpoint.ip + " " + std::to_string(entry.evidence_endpoint.port) + " " +
         std::to_string(entry.incarnation) + (entry.stopping ? std::string(1, kStoppingMark) : std::string()) + " " +
         entry.domain.value();
}

std::optional<HostEntry> decode_host_entry(std::string_view text) {
  const std::string_view ip = take_word(text);
  const auto port = parse_unsigned(take_word(text));
  std::string_view process = take_word(text);
  const bool stopping = process.ends_with(kStoppingMark);
  process.remove_suffix(stopping ? 1 : 0);
  const auto incarnation = parse_unsigned(process);
  if (ip.empty() || !port.has_value() || *port == 0 || *port > std::numeric_limits<std::uint16_t>::max() ||
      !incarnation.has_value() || text.empty()) {
    return std::nullopt;
  }
  return HostEntry{
      {std::string(ip), static_cast<std::uint16_t>(*port)}, FailureDomainId(std::string(text)), *incarnation, stopping};
}

}  // namespace teaselrudder
