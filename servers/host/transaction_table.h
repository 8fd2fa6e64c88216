#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/log_point.h"
#include "core/request.h"
#include "core/session/transaction_handle.h"
#include "core/time.h"

namespace teaselrudder {

/// A transaction that is open on a connection of this host.
struct OpenTransaction {
  /// Unique within this process; part of the transaction handle.
  std::uint64_t number = 0;
  ServiceName service;
  GroupId group;
  MemberId member;
  ConnectionId connection;
  Term term;
  bool read_only = false;
  RequestId request_id;
  /// True while a step of the transaction is queued or running.
  bool busy = false;
  /// The transaction is rolled back at this time unless a step arrives before.
  TimePoint idle_deadline;
};

/// The open transactions of this host.
class TransactionTable {
 public:
  /// Maximum number of open transactions. Each one holds a connection.
  static constexpr std::size_t kMaxOpenTransactions = 4096;

  TransactionTable(HostId self, Incarnation incarnation, const std::string& key);

  /// Adds a transaction and returns its handle, or nothing if the table is full.
  std::optional<TransactionHandle> add(OpenTransaction transaction);

  /// Decodes a handle that any host has issued. Returns nothing if it is malformed or fails authentication.
  std::optional<TransactionAddress> read_handle(const TransactionHandle& handle) const {
    return m_handles.decode(handle);
  }

  /// Returns the transaction at `address`, or null if this host does not hold it.
  OpenTransaction* find(const TransactionAddress& address);

  /// Returns the transaction with `number`, or null.
  OpenTransaction* find(std::uint64_t number);

  /// Removes a transaction. Its connection stays as it is.
  void remove(std::uint64_t number) { m_transactions.erase(number); }

  /// Removes and returns the transactions whose idle deadline has passed.
  std::vector<OpenTransaction> take_idle(TimePoint now);

  /// Returns the earliest idle deadline, or nothing if no transaction is idle.
  std::optional<TimePoint> next_deadline() const;

  std::size_t size() const { return m_transactions.size(); }

 private:
  HostId m_self;
  Incarnation m_incarnation;
  TransactionHandleCodec m_handles;
  std::uint64_t m_last_number = 0;
  std::map<std::uint64_t, OpenTransaction> m_transactions;
};

}  // namespace teaselrudder
