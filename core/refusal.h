#pragma once

#include <array>
#include <optional>
#include <string>
#include <string_view>

#include "core/time.h"

namespace teaselrudder {

/// Whether a refused request was executed. kNo is used only if that is certain.
enum class Ran { kNo, kYes, kUnknown };

/// Why a request was refused. Each reason has a counter and is documented in docs/operators/refusals.md.
enum class RefusalReason {
  kBadRequest,             // The request does not parse or a field is out of range.
  kBodyTooLarge,           // The body exceeds the configured size.
  kUnknownService,         // No service with that name is configured.
  kTokenMalformed,         // The session token is truncated or does not parse.
  kTokenAltered,           // The session token fails authentication.
  kTokenOtherService,      // The session token was issued for another service.
  kTokenFutureTerm,        // The session token contains a term that a majority does not know.
  kUnknownTransaction,     // The transaction handle is malformed, or its transaction has ended or belongs to an earlier
                           // run of the host.
  kTransactionBusy,        // A statement of the transaction is still running.
  kTransactionAborted,     // The transaction was rolled back.
  kDuplicateRequest,       // A request with this id already ran; its results were not stored.
  kStatementFailed,        // The upstream rejected a statement; the transaction was rolled back.
  kQueueFull,              // The member's queue is full.
  kQueueDeadline,          // The expected wait exceeds the deadline, or the deadline passed while queued.
  kNoPrimary,              // No primary was known before the deadline.
  kNoMajority,             // No majority of the group could be reached before the deadline.
  kNoFreshReplica,         // No member could satisfy the required freshness before the deadline.
  kConfirmationTimeout,    // The write ran, but no majority confirmed it before the deadline.
  kUpstreamLost,           // The connection to the upstream was lost while the request was running.
  kUpstreamTimeout,        // The upstream did not answer before the deadline.
  kOwnerUnreachable,       // The owner of the member, the host that runs its statements, could not be reached.
  kConnectionsExhausted,   // No connection to the member could be opened.
  kRetryBudgetExhausted,   // The request needed a retry, but the retry budget is exhausted.
  kTooManyForwards,        // The request was forwarded between hosts more often than allowed.
  kStopping,               // The host is stopping and accepts no new requests.
  kStoreUnavailable,       // The platform's store does not answer.
  kConfigurationConflict,  // Another change of the configuration was accepted first.
  kConfigurationInvalid,   // The configuration violates a rule.
  kBadPeerMessage,         // A message from another host could not be decoded.
  kInternal,               // Internal error: an outcome that the code does not handle.
};

/// Number of refusal reasons, for arrays indexed by reason.
inline constexpr std::size_t kRefusalReasonCount = static_cast<std::size_t>(RefusalReason::kInternal) + 1;

/// Returns the machine-readable name of `reason`, for example `queue_full`.
std::string_view to_string(RefusalReason reason);

/// Returns the reason with the machine-readable name `name`, or nullopt if there is none.
std::optional<RefusalReason> refusal_reason_from_string(std::string_view name);

/// Returns `yes`, `no` or `unknown`.
std::string_view to_string(Ran ran);

/// Describes why a request was not served.
struct Refusal {
  RefusalReason reason = RefusalReason::kInternal;
  Ran ran = Ran::kUnknown;
  /// Delay after which a retry may succeed; nullopt if retrying cannot help.
  std::optional<Duration> retry_after;
  /// One-line description for people.
  std::string detail;
  /// The upstream's SQLSTATE if it rejected a statement; otherwise empty.
  std::string sqlstate;

  friend bool operator==(const Refusal&, const Refusal&) = default;
};

}  // namespace teaselrudder
