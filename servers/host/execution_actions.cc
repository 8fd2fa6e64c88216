#include "servers/host/execution_actions.h"

#include <utility>

namespace teaselrudder {

namespace {

// Callers are told to retry after this time, in which a failover is expected to end.
constexpr Duration kRetryAfterFailover = std::chrono::seconds(2);

}  // namespace

Refusal make_refusal(RefusalReason reason, Ran ran, std::string detail) {
  Refusal refusal;
  refusal.reason = reason;
  refusal.ran = ran;
  refusal.detail = std::move(detail);
  const bool passes_with_failover = reason == RefusalReason::kNoPrimary || reason == RefusalReason::kNoMajority ||
                                    reason == RefusalReason::kConfirmationTimeout ||
                                    reason == RefusalReason::kOwnerUnreachable;
  if (passes_with_failover) {
    refusal.retry_after = kRetryAfterFailover;
  }
  return refusal;
}

RefusalReason reason_of(const UpstreamError& error) {
  switch (error.kind) {
    case UpstreamErrorKind::kStatementFailed:
      return RefusalReason::kStatementFailed;
    case UpstreamErrorKind::kNotPrimaryInTerm:
      return RefusalReason::kNoPrimary;
    case UpstreamErrorKind::kConnectFailed:
    case UpstreamErrorKind::kTooManyConnections:
      return RefusalReason::kConnectionsExhausted;
    case UpstreamErrorKind::kConnectionLost:
    case UpstreamErrorKind::kBadAnswer:
      return RefusalReason::kUpstreamLost;
  }
  return RefusalReason::kInternal;
}

}  // namespace teaselrudder
