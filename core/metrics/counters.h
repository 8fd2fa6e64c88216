#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "core/refusal.h"

namespace teaselrudder {

/// Why an operation was retried.
enum class RetryReason {
  kPrimaryChanged,          // The chosen member was not the primary in the required term.
  kReplicaBehind,           // The chosen replica was not as fresh as the read required.
  kConnectionLost,          // The upstream connection was lost and the request can safely run again.
  kConnectFailed,           // The connection to the chosen member could not be opened.
  kUnresponsiveConnection,  // The upstream connection did not answer although the member was reachable.
  kOwnerUnreachable,        // The chosen owner could not be reached; the request was not delivered.
  kOwnerLost,               // The chosen owner was lost after delivery and the request can safely run again.
};

/// Number of retry reasons, for arrays indexed by reason.
inline constexpr std::size_t kRetryReasonCount = static_cast<std::size_t>(RetryReason::kOwnerLost) + 1;

/// Returns the machine-readable name of `reason`, for example `replica_behind`.
std::string_view to_string(RetryReason reason);

/// Event counters of one process, exported by the metrics endpoint.
class Counters {
 public:
  void count_refusal(RefusalReason reason, Ran ran);

  void count_retry(RetryReason reason);

  /// Adds `increment` to the counter `name`, a Prometheus metric name without prefix and suffix, for example
  /// `writes_confirmed`. Names are literals in the code, so the number of counters is bounded.
  void count(std::string_view name, std::uint64_t increment = 1);

  /// Returns the number of refusals counted with `reason` and `ran`.
  std::uint64_t refusals(RefusalReason reason, Ran ran) const;

  /// Returns the number of refusals counted with `reason`, for all values of `ran`.
  std::uint64_t refusals(RefusalReason reason) const;

  /// Returns the number of retries counted with `reason`.
  std::uint64_t retries(RetryReason reason) const;

  /// Returns the counter `name`, or zero if it was never counted.
  std::uint64_t value(std::string_view name) const;

  /// Returns all counters in the Prometheus text format.
  std::string to_prometheus() const;

 private:
  static constexpr std::size_t kRanCount = 3;

  std::array<std::array<std::uint64_t, kRanCount>, kRefusalReasonCount> m_refusals{};
  std::array<std::uint64_t, kRetryReasonCount> m_retries{};
  std::map<std::string, std::uint64_t, std::less<>> m_events;
};

}  // namespace teaselrudder
