#pragma once

#include <string>
#include <vector>

#include "servers/explain/log_archive.h"

namespace teaselrudder {

/// Explanation of a request's outcome from the logs.
struct RequestExplanation {
  /// True if the logs contain the request. A request that is served at the first attempt is not logged.
  bool found = false;
  /// Text lines: the request's events, then the state known to its host, then the preceding events of its group.
  std::vector<std::string> timeline;
  /// The most likely cause of the outcome, in one sentence.
  std::string cause;
};

/// Explains the outcome of `request`, a request id: collects its events, the state of the fleet, the store and the
/// configuration as known to its host at that time, and the events of its group in the preceding seconds.
RequestExplanation explain_request(const LogArchive& logs, const std::string& request);

/// Returns the events of failovers and members of `group` from all logs, one text line each, with the time since the
/// previous one.
std::vector<std::string> explain_group(const LogArchive& logs, const std::string& group);

}  // namespace teaselrudder
