#include "core/session/transaction_handle.h"

#include <string_view>

#include "core/parse_number.h"
#include "core/session/signature.h"

namespace teaselrudder {

namespace {

constexpr char kSeparator = '~';  // Not allowed in names.

// Removes the text up to the next separator from `rest` and returns it.
std::string_view take_field(std::string_view& rest) {
  const std::size_t separator = rest.find(kSeparator);
  const std::string_view field = rest.substr(0, separator);
  rest = separator == std::string_view::npos ? std::string_view() : rest.substr(separator + 1);
  return field;
}

}  // namespace

TransactionHandle TransactionHandleCodec::encode(const TransactionAddress& address) const {
  const std::string payload = address.host.value() + kSeparator + std::to_string(address.incarnation.value()) +
                              kSeparator + std::to_string(address.number) + kSeparator + address.service.value();
  return TransactionHandle(payload + kSeparator + sign_text(m_key, payload));
}

std::optional<TransactionAddress> TransactionHandleCodec::decode(const TransactionHandle& handle) const {
  const std::string& text = handle.value();
  const std::size_t last = text.rfind(kSeparator);
  if (text.size() > kMaxHandleLength || last == std::string::npos) {
    return std::nullopt;
  }
  std::string_view rest = std::string_view(text).substr(0, last);
  if (!signatures_equal(sign_text(m_key, rest), std::string_view(text).substr(last + 1))) {
    return std::nullopt;
  }
  TransactionAddress address;
  address.host = HostId(std::string(take_field(rest)));
  const std::optional<std::uint64_t> incarnation = parse_unsigned(take_field(rest));
  const std::optional<std::uint64_t> number = parse_unsigned(take_field(rest));
  if (!incarnation.has_value() || !number.has_value()) {
    return std::nullopt;
  }
  address.incarnation = Incarnation(*incarnation);
  address.number = *number;
  address.service = ServiceName(std::string(take_field(rest)));
  return address;
}

}  // namespace teaselrudder
