#pragma once

#include <string>

namespace teaselrudder {

/// Formats the JSON answer of a daemon as human-readable text. A list of objects under "rows" or "difference" becomes a
/// table and every other field a line `name: value`. Text that is not a JSON object is returned as it is. Control
/// characters are replaced by `?`, so that names cannot send control sequences to the terminal.
std::string format_answer(const std::string& json);

}  // namespace teaselrudder
