#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/ids.h"

namespace teaselrudder {

/// Number of tokens of an account, each of which allows one operation.
struct QuotaTokens {
  AccountId account;
  std::uint32_t tokens = 0;
  /// Number of the request, also in the answer to it. A request that is sent again has the same number and is granted
  /// the same tokens.
  std::uint64_t request = 0;

  friend bool operator==(const QuotaTokens&, const QuotaTokens&) = default;
};

/// Message between a host and one that allocates quotas of client accounts. It can be lost, delayed or duplicated. Each
/// request is answered, also one without tokens.
struct QuotaMessage {
  HostId sender;
  bool is_answer = false;
  /// In a request: the shards of accounts, one bit each, for which the sender pledges its part of the quotas to the
  /// receiver.
  std::uint32_t pledged_shards = 0;
  /// In a request: those of them whose buckets at the receiver the sender adds an initial level to.
  std::uint32_t credited_shards = 0;
  /// The tokens that a host asks for, or those that it is granted. Fewer tokens than wanted mean that the quota is used
  /// up.
  std::vector<QuotaTokens> tokens;
};

/// Maximum number of accounts in one message. A message of this size fits into a datagram of 8 KB with names of 64
/// characters.
inline constexpr std::size_t kMaxQuotaEntries = 64;

}  // namespace teaselrudder
