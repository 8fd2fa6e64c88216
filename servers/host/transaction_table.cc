#include "servers/host/transaction_table.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "core/parse_number.h"
#include "core/session/signature.h"

namespace teaselrudder {

namespace {

constexpr char kSeparator = '~';  // Does not occur in names.
constexpr std::size_t kMaxHandleLength = 256;

// Cuts the text up to the next separator off `rest`.
std::string_view take_field(std::string_view& rest) {
  const std::size_t separator = rest.find(kSeparator);
  const std::string_view field = rest.substr(0, separator);
  rest = separator == std::string_view::npos ? std::string_view() : rest.substr(separator + 1);
  return field;
}

}  // namespace

TransactionTable::TransactionTable(HostId self, Incarnation incarnation, std::string key)
    : m_self(std::move(self)), m_incarnation(incarnation), m_key(std::move(key)) {}

std::optional<TransactionHandle> TransactionTable::add(OpenTransaction transaction) {
  if (m_transactions.size() >= kMaxOpen) {
    return std::nullopt;
  }
  transaction.number = ++m_last_number;
  const std::string payload = m_self.value() + kSeparator + std::to_string(m_incarnation.value()) + kSeparator +
                              std::to_string(transaction.number);
  m_transactions.emplace(transaction.number, std::move(transaction));
  return TransactionHandle(payload + kSeparator + sign_text(m_key, payload));
}

std::optional<TransactionAddress> TransactionTable::read_handle(const TransactionHandle& handle) const {
  const std::string& text = handle.value();
  const std::size_t last = text.rfind(kSeparator);
  if (text.size() > kMaxHandleLength || last == std::string::npos) {
    return std::nullopt;
  }
  std::string_view rest = std::string_view(text).substr(0, last);
  if (!signatures_equal(sign_text(m_key, rest), std::string_view(text).substr(last + 1))) {
    return std::nullopt;
  }
  const std::string_view host = take_field(rest);
  const std::optional<std::uint64_t> incarnation = parse_unsigned(take_field(rest));
  const std::optional<std::uint64_t> number = parse_unsigned(take_field(rest));
  if (!incarnation.has_value() || !number.has_value()) {
    return std::nullopt;
  }
  return TransactionAddress{HostId(std::string(host)), Incarnation(*incarnation), *number};
}

OpenTransaction* TransactionTable::find(const TransactionAddress& address) {
  if (address.host != m_self || address.incarnation != m_incarnation) {
    return nullptr;
  }
  const auto found = m_transactions.find(address.number);
  return found == m_transactions.end() ? nullptr : &found->second;
}

std::vector<OpenTransaction> TransactionTable::take_idle(TimePoint now) {
  std::vector<OpenTransaction> idle;
  for (auto entry = m_transactions.begin(); entry != m_transactions.end();) {
    if (entry->second.busy || now < entry->second.idle_deadline) {
      ++entry;
      continue;
    }
    idle.push_back(std::move(entry->second));
    entry = m_transactions.erase(entry);
  }
  return idle;
}

std::optional<TimePoint> TransactionTable::next_deadline() const {
  std::optional<TimePoint> earliest;
  for (const auto& [number, transaction] : m_transactions) {
    if (!transaction.busy && (!earliest.has_value() || transaction.idle_deadline < *earliest)) {
      earliest = transaction.idle_deadline;
    }
  }
  return earliest;
}

}  // namespace teaselrudder
