#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "tl/expected.hpp"

namespace teaselrudder {

/// Parses a JSON document. Returns a one-line error, and never throws, if `text` is not valid JSON, nests deeper than
/// `max_depth` levels, or repeats a field within an object. Repeated fields are rejected because parsers disagree about
/// their meaning.
tl::expected<nlohmann::json, std::string> parse_strict_json(std::string_view text, int max_depth);

}  // namespace teaselrudder
