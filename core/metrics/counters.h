#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "core/refusal.h"

namespace teaselrudder {

/// Why an operation was tried again.
enum class RetryReason {
  kPrimaryChanged,    // The chosen member was not the primary in the required term.
  kReplicaBehind,     // The chosen member did not satisfy the required freshness when it ran the read.
  kConnectionLost,    // The upstream connection broke and the request may run again.
  kConnectFailed,     // No connection to the chosen member came about.
  kSilentConnection,  // The upstream connection gave no answer while the member was reachable.
  kOwnerUnreachable,  // The chosen owner could not be reached and the request was not delivered.
  kOwnerLost,         // The chosen owner was lost after delivery and the request may run again.
};

/// Number of retry reasons, for arrays indexed by reason.
inline constexpr std::size_t kRetryReasonCount = static_cast<std::size_t>(RetryReason::kOwnerLost) + 1;

/// Returns the machine-readable name of `reason`, for example `replica_behind`.
std::string_view to_string(RetryReason reason);

/// Counters of one process, kept by the decision layers and read by the metrics endpoint.
class Counters {
 public:
  /// Counts a refusal.
  void count_refusal(RefusalReason reason, Ran ran);

  /// Counts a retry.
  void count_retry(RetryReason reason);

  /// Counts one event under `name`, which has the form of a Prometheus metric name without prefix, for example
  /// `writes_confirmed`. The set of names is fixed in the code, so the map stays small.
  void count(std::string_view name, std::uint64_t increment = 1);

  /// Returns how often refusals with `reason` and `ran` were counted.
  std::uint64_t refusals(RefusalReason reason, Ran ran) const;

  /// Returns how often refusals with `reason` were counted, whatever ran.
  std::uint64_t refusals(RefusalReason reason) const;

  /// Returns how often retries with `reason` were counted.
  std::uint64_t retries(RetryReason reason) const;

  /// Returns the count under `name`, or zero.
  std::uint64_t value(std::string_view name) const;

  /// Writes all counters in the Prometheus text form.
  std::string to_prometheus() const;

 private:
  static constexpr std::size_t kRanCount = 3;

  std::array<std::array<std::uint64_t, kRanCount>, kRefusalReasonCount> m_refusals{};
  std::array<std::uint64_t, kRetryReasonCount> m_retries{};
  std::map<std::string, std::uint64_t, std::less<>> m_events;
};

}  // namespace teaselrudder
