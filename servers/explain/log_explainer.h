#pragma once

#include <string>
#include <vector>

#include "servers/explain/log_archive.h"

namespace teaselrudder {

/// What the logs tell of one request.
struct RequestExplanation {
  /// True if a line names the request. Requests that are served at the first attempt leave none.
  bool found = false;
  /// The request's lines and the beliefs that decided it, in order, as text.
  std::vector<std::string> course;
  /// The conclusion in a sentence.
  std::string cause;
};

/// Follows `request` through the logs: its own lines, what its host believed of the fleet, the store and the group's
/// primary at that time, with the age of each belief, and what happened to the group shortly before.
RequestExplanation explain_request(const LogArchive& logs, const std::string& request);

/// Returns the course of failovers and of members of `group` in all logs, one line each.
std::vector<std::string> explain_group(const LogArchive& logs, const std::string& group);

}  // namespace teaselrudder
