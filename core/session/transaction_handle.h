#pragma once

#include <optional>
#include <string>

#include "core/ids.h"

namespace teaselrudder {

/// What a transaction handle says: where the transaction is open and which service it belongs to.
struct TransactionAddress {
  HostId host;
  /// The life of the host in which the transaction was opened.
  Incarnation incarnation;
  std::uint64_t number = 0;
  ServiceName service;

  friend bool operator==(const TransactionAddress&, const TransactionAddress&) = default;
};

/// Writes and reads the signed handles of open transactions, which any host can read.
class TransactionHandleCodec {
 public:
  /// Longest handle that decode() looks at, in bytes.
  static constexpr std::size_t kMaxHandleLength = 256;

  explicit TransactionHandleCodec(std::string key) : m_key(std::move(key)) {}

  /// Returns the handle of the transaction at `address`.
  TransactionHandle encode(const TransactionAddress& address) const;

  /// Returns the address in `handle`; nothing if it is malformed or fails authentication.
  std::optional<TransactionAddress> decode(const TransactionHandle& handle) const;

 private:
  std::string m_key;
};

}  // namespace teaselrudder
