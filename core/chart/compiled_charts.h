#pragma once

#include <string_view>

namespace teaselrudder {

/// Returns the SCXML document of the chart `name`, compiled in from misc/charts; empty if there is no such chart.
std::string_view compiled_chart(std::string_view name);

}  // namespace teaselrudder
