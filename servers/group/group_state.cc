#include "servers/group/group_state.h"

namespace teaselrudder {

const std::vector<std::string>& group_state_names() {
  static const std::vector<std::string> names = {"discovering", "led", "asking", "waiting", "raising", "promoting"};
  return names;
}

const std::vector<std::string>& group_event_names() {
  static const std::vector<std::string> names = {"primary_seen",       "primary_lost", "suspicion_confirmed",
                                                 "suspicion_rejected", "jitter_over",  "majority_granted",
                                                 "attempt_failed"};
  return names;
}

}  // namespace teaselrudder
