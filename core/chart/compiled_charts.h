#pragma once

#include <string_view>

namespace teaselrudder {

/// Returns the text of the chart `name` as it was compiled in from misc/charts, or an empty text if there is none.
std::string_view compiled_chart(std::string_view name);

}  // namespace teaselrudder
