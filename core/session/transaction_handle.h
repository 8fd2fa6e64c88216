#pragma once

#include <optional>
#include <string>

#include "core/ids.h"

namespace teaselrudder {

/// Content of a transaction handle: the host where the transaction is open and the service it belongs to.
struct TransactionAddress {
  HostId host;
  /// Incarnation of `host` in which the transaction was opened; a restart of the host ends the transaction.
  Incarnation incarnation;
  /// Number of the transaction, unique within the incarnation.
  std::uint64_t number = 0;
  ServiceName service;

  friend bool operator==(const TransactionAddress&, const TransactionAddress&) = default;
};

/// Encodes and verifies the signed handles of open transactions. Any host with the key can decode a handle.
class TransactionHandleCodec {
 public:
  /// Longest handle that decode() accepts, in bytes.
  static constexpr std::size_t kMaxHandleLength = 256;

  explicit TransactionHandleCodec(std::string key) : m_key(std::move(key)) {}

  /// Returns the handle of the transaction at `address`.
  TransactionHandle encode(const TransactionAddress& address) const;

  /// Returns the address in `handle`, or nullopt if the handle is malformed or its signature does not match.
  std::optional<TransactionAddress> decode(const TransactionHandle& handle) const;

 private:
  std::string m_key;
};

}  // namespace teaselrudder
