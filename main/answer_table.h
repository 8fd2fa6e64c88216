#pragma once

#include <string>

namespace teaselrudder {

/// Writes the JSON answer of a daemon as text for people. A list of flat objects under "rows" or "difference" becomes a
/// table, other fields become lines `name: value`, and text that is not a JSON object stays as it is. Control
/// characters are replaced, so that a name cannot send commands to a terminal.
std::string format_answer(const std::string& json);

}  // namespace teaselrudder
