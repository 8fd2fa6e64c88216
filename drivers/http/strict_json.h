#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "tl/expected.hpp"

namespace teaselrudder {

/// Reads a JSON document without exceptions. Documents that nest deeper than `max_depth` or repeat a field in an object
/// are errors, because parsers disagree about the meaning of the latter. The error is one line.
tl::expected<nlohmann::json, std::string> parse_strict_json(std::string_view text, int max_depth);

}  // namespace teaselrudder
