#include "servers/host/transaction_table.h"

#include <algorithm>
#include <utility>

namespace teaselrudder {

TransactionTable::TransactionTable(HostId self, Incarnation incarnation, const std::string& key)
    : m_self(std::move(self)), m_incarnation(incarnation), m_handles(key) {}

std::optional<TransactionHandle> TransactionTable::add(OpenTransaction transaction) {
  if (m_transactions.size() >= kMaxOpenTransactions) {
    return std::nullopt;
  }
  transaction.number = ++m_last_number;
  const TransactionHandle handle = m_handles.encode({m_self, m_incarnation, transaction.number, transaction.service});
  m_transactions.emplace(transaction.number, std::move(transaction));
  return handle;
}

OpenTransaction* TransactionTable::find(const TransactionAddress& address) {
  if (address.host != m_self || address.incarnation != m_incarnation) {
    return nullptr;
  }
  return find(address.number);
}

OpenTransaction* TransactionTable::find(std::uint64_t number) {
  const auto found = m_transactions.find(number);
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
