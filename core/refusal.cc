#include "core/refusal.h"

namespace teaselrudder {

namespace {

// Names in the order of RefusalReason.
constexpr std::array<std::string_view, kRefusalReasonCount> kReasonNames = {
    "bad_request",
    "body_too_large",
    "unknown_service",
    "token_malformed",
    "token_altered",
    "token_other_service",
    "token_future_term",
    "unknown_transaction",
    "transaction_busy",
    "transaction_aborted",
    "duplicate_request",
    "statement_failed",
    "queue_full",
    "queue_deadline",
    "no_primary",
    "no_majority",
    "no_fresh_replica",
    "confirmation_timeout",
    "upstream_lost",
    "upstream_timeout",
    "owner_unreachable",
    "connections_exhausted",
    "retry_budget_exhausted",
    "too_many_forwards",
    "stopping",
    "store_unavailable",
    "configuration_conflict",
    "configuration_invalid",
    "bad_peer_message",
    "internal",
};

}  // namespace

std::string_view to_string(RefusalReason reason) { return kReasonNames.at(static_cast<std::size_t>(reason)); }

std::optional<RefusalReason> refusal_reason_from_string(std::string_view name) {
  for (std::size_t index = 0; index < kReasonNames.size(); ++index) {
    if (kReasonNames.at(index) == name) {
      return static_cast<RefusalReason>(index);
    }
  }
  return std::nullopt;
}

std::string_view to_string(Ran ran) {
  switch (ran) {
    case Ran::kNo:
      return "no";
    case Ran::kYes:
      return "yes";
    case Ran::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace teaselrudder
