#include "servers/operator/operator_view.h"

namespace teaselrudder {

std::vector<std::string_view> show_columns(ShowTarget target) {
  switch (target) {
    case ShowTarget::kHosts:
      return {"host", "failure_domain", "address", "incarnation", "state", "relay"};
    case ShowTarget::kGroups:
      return {"group", "members", "monitored", "owner", "primary", "term", "majority_reachable"};
    case ShowTarget::kUpstreams:
      return {"upstream", "address",  "failure_domain", "slots",    "connections",  "leaving",
              "primary",  "log_term", "received",       "replayed", "report_age_ms"};
    case ShowTarget::kServices:
      return {"service",    "group",     "freshness",   "max_age_ms",    "urgency",
              "idempotent", "read_only", "deadline_ms", "max_in_flight", "in_flight"};
    case ShowTarget::kQueues:
      return {"upstream", "queued", "running", "wait_urgent_ms", "wait_normal_ms", "wait_background_ms"};
    case ShowTarget::kRefusals:
      return {"reason", "ran_no", "ran_yes", "ran_unknown"};
    case ShowTarget::kRetries:
      return {"reason", "count"};
    case ShowTarget::kConfiguration:
      return {"item", "value", "version"};
    case ShowTarget::kVersions:
      return {"host", "version"};
    case ShowTarget::kDecisions:
      return {"subject", "event", "cause", "age_ms"};
  }
  return {};
}

}  // namespace teaselrudder
