#include "core/session/session_token.h"

#include <cstdint>
#include <optional>
#include <vector>

#include "core/parse_number.h"
#include "core/session/signature.h"

namespace teaselrudder {

namespace {

constexpr std::string_view kFormat = "t1";
constexpr char kSeparator = '~';  // Not allowed in names.
// Format, service, group, term, log position, uncertain flag, signature.
constexpr std::size_t kFieldCount = 7;

std::vector<std::string_view> split_fields(std::string_view text) {
  std::vector<std::string_view> fields;
  while (true) {
    const std::size_t separator = text.find(kSeparator);
    fields.push_back(text.substr(0, separator));
    if (separator == std::string_view::npos) {
      return fields;
    }
    text.remove_prefix(separator + 1);
  }
}

}  // namespace

std::string SessionTokenCodec::encode(const ServiceName& service, const GroupId& group,
                                      const SessionPosition& position) const {
  std::string payload(kFormat);
  payload += kSeparator + service.value();
  payload += kSeparator + group.value();
  payload += kSeparator + std::to_string(position.point.term.value());
  payload += kSeparator + std::to_string(position.point.position.value());
  payload += kSeparator + std::string(position.uncertain ? "1" : "0");
  return payload + kSeparator + sign_text(m_key, payload);
}

tl::expected<SessionPosition, SessionTokenError> SessionTokenCodec::decode(std::string_view token,
                                                                           const ServiceName& service,
                                                                           const GroupId& group) const {
  if (token.empty()) {
    return SessionPosition{};
  }
  if (token.size() > kMaxTokenLength) {
    return tl::unexpected(SessionTokenError::kMalformed);
  }
  const std::vector<std::string_view> fields = split_fields(token);
  if (fields.size() != kFieldCount || fields[0] != kFormat || fields[6].size() != kSignatureDigits) {
    return tl::unexpected(SessionTokenError::kMalformed);
  }
  const std::optional<std::uint64_t> term = parse_unsigned(fields[3]);
  const std::optional<std::uint64_t> position = parse_unsigned(fields[4]);
  const bool flag_known = fields[5] == "0" || fields[5] == "1";
  if (!term.has_value() || !position.has_value() || !flag_known) {
    return tl::unexpected(SessionTokenError::kMalformed);
  }
  const std::string_view payload = token.substr(0, token.size() - kSignatureDigits - 1);
  if (!signatures_equal(sign_text(m_key, payload), fields[6])) {
    return tl::unexpected(SessionTokenError::kAltered);
  }
  if (fields[1] != service.value() || fields[2] != group.value()) {
    return tl::unexpected(SessionTokenError::kOtherService);
  }
  return SessionPosition{{Term(*term), LogPosition(*position)}, fields[5] == "1"};
}

}  // namespace teaselrudder
