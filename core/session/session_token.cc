#include "core/session/session_token.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <charconv>
#include <cstdint>
#include <optional>
#include <vector>

namespace teaselrudder {

namespace {

constexpr std::string_view kFormat = "t1";
constexpr char kSeparator = '~';  // Does not occur in names.
constexpr std::size_t kFieldCount = 7;
constexpr std::size_t kSignatureBytes = 16;
constexpr std::size_t kSignatureDigits = 2 * kSignatureBytes;

std::string to_hex(const unsigned char* bytes, std::size_t count) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(2 * count);
  for (std::size_t index = 0; index < count; ++index) {
    text += kDigits[bytes[index] >> 4U];
    text += kDigits[bytes[index] & 0x0FU];
  }
  return text;
}

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

std::optional<std::uint64_t> parse_number(std::string_view text) {
  std::uint64_t number = 0;
  const char* const end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, number);
  if (result.ec != std::errc() || result.ptr != end) {
    return std::nullopt;
  }
  return number;
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
  return payload + kSeparator + sign(payload);
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
  const std::optional<std::uint64_t> term = parse_number(fields[3]);
  const std::optional<std::uint64_t> position = parse_number(fields[4]);
  const bool flag_known = fields[5] == "0" || fields[5] == "1";
  if (!term.has_value() || !position.has_value() || !flag_known) {
    return tl::unexpected(SessionTokenError::kMalformed);
  }
  const std::string expected = sign(token.substr(0, token.size() - kSignatureDigits - 1));
  if (CRYPTO_memcmp(expected.data(), fields[6].data(), kSignatureDigits) != 0) {
    return tl::unexpected(SessionTokenError::kAltered);
  }
  if (fields[1] != service.value() || fields[2] != group.value()) {
    return tl::unexpected(SessionTokenError::kOtherService);
  }
  return SessionPosition{{Term(*term), LogPosition(*position)}, fields[5] == "1"};
}

std::string SessionTokenCodec::sign(std::string_view payload) const {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int length = 0;
  HMAC(EVP_sha256(), m_key.data(), static_cast<int>(m_key.size()),
       reinterpret_cast<const unsigned char*>(payload.data()), payload.size(), digest.data(), &length);
  return to_hex(digest.data(), kSignatureBytes);
}

}  // namespace teaselrudder
