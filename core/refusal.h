#pragma once

#include <array>
#include <optional>
#include <string>
#include <string_view>

#include "core/time.h"

namespace teaselrudder {

/// Whether a refused request ran. kNo is used only where it is certain.
enum class Ran { kNo, kYes, kUnknown };

/// Why a request was refused. Each reason has a counter and an entry in docs/operators/refusals.md.
enum class RefusalReason {
  kBadRequest,             // The request does not parse or a field is out of range.
  kBodyTooLarge,           // The body exceeds the configured size.
  kUnknownService,         // No service of that name is configured.
  kTokenMalformed,         // The session token is truncated or not in the known form.
  kTokenAltered,           // The session token fails authentication.
  kTokenOtherService,      // The session token was issued for another service.
  kTokenFutureTerm,        // The session token names a term that a majority does not know.
  kUnknownTransaction,     // The transaction handle is malformed, finished or of a past incarnation.
  kTransactionBusy,        // A statement of the transaction is still running.
  kTransactionAborted,     // The transaction was rolled back.
  kDuplicateRequest,       // A request with this id already ran; its results are not kept.
  kStatementFailed,        // The upstream rejected a statement; the transaction was rolled back.
  kQueueFull,              // The member's queue is at its bound.
  kQueueDeadline,          // The expected wait exceeds the deadline, or the deadline passed in the queue.
  kNoPrimary,              // No primary was known before the deadline.
  kNoMajority,             // No majority of the group could be reached before the deadline.
  kNoFreshReplica,         // No member could satisfy the required freshness before the deadline.
  kConfirmationTimeout,    // The write ran, but no majority confirmed it before the deadline.
  kUpstreamLost,           // The connection to the upstream failed while the request was running.
  kUpstreamTimeout,        // The upstream did not answer before the deadline.
  kOwnerUnreachable,       // The owner of the member could not be reached.
  kConnectionsExhausted,   // No connection to the member could be opened.
  kRetryBudgetExhausted,   // A retry was due, but the retry budget is spent.
  kTooManyForwards,        // The request crossed more hosts than allowed.
  kStopping,               // The host is stopping and admits nothing new.
  kStoreUnavailable,       // The platform's store does not answer.
  kConfigurationConflict,  // Another change of the configuration was accepted first.
  kConfigurationInvalid,   // The configuration breaks a rule.
  kBadPeerMessage,         // A message of another host could not be decoded.
  kInternal,               // A bug: an outcome that no rule covers.
};

/// Number of refusal reasons, for arrays indexed by reason.
inline constexpr std::size_t kRefusalReasonCount = static_cast<std::size_t>(RefusalReason::kInternal) + 1;

/// Returns the machine-readable name of `reason`, for example `queue_full`.
std::string_view to_string(RefusalReason reason);

/// Returns the reason with the machine-readable name `name`, or nothing.
std::optional<RefusalReason> refusal_reason_from_string(std::string_view name);

/// Returns `yes`, `no` or `unknown`.
std::string_view to_string(Ran ran);

/// The answer to a request that was not served.
struct Refusal {
  RefusalReason reason = RefusalReason::kInternal;
  Ran ran = Ran::kUnknown;
  /// Earliest time from now at which a repetition may succeed; nothing if a repetition cannot help.
  std::optional<Duration> retry_after;
  /// Detail for people, in one line.
  std::string detail;
  /// For an upstream's rejection of a statement, its SQLSTATE; otherwise empty.
  std::string sqlstate;

  friend bool operator==(const Refusal&, const Refusal&) = default;
};

}  // namespace teaselrudder
