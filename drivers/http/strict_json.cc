#include "drivers/http/strict_json.h"

#include <set>
#include <utility>
#include <vector>

namespace teaselrudder {

namespace {

using Json = nlohmann::json;

/// Detects excessive nesting and repeated fields while the parser reads a document.
class JsonStructureChecker {
 public:
  explicit JsonStructureChecker(int max_depth) : m_max_depth(max_depth) {}

  /// Callback of the parser. Returns false to discard the parsed value, because the document is rejected anyway.
  bool on_event(int depth, Json::parse_event_t event, const Json& parsed) {
    if (event == Json::parse_event_t::object_start || event == Json::parse_event_t::array_start) {
      m_too_deep = m_too_deep || depth >= m_max_depth;
      m_fields_by_level.emplace_back();
    } else if (event == Json::parse_event_t::object_end || event == Json::parse_event_t::array_end) {
      m_fields_by_level.pop_back();
    } else if (event == Json::parse_event_t::key &&
               !m_fields_by_level.back().insert(parsed.get<std::string>()).second) {
      m_repeated_field = parsed.get<std::string>();
    }
    return !m_too_deep;
  }

  /// Returns a description of the violation, or an empty string if there is none.
  std::string error() const {
    if (m_too_deep) {
      return "the JSON document nests deeper than " + std::to_string(m_max_depth) + " levels";
    }
    return m_repeated_field.empty() ? "" : "field '" + m_repeated_field + "' appears twice";
  }

 private:
  int m_max_depth;
  bool m_too_deep = false;
  std::string m_repeated_field;
  std::vector<std::set<std::string>> m_fields_by_level;
};

}  // namespace

tl::expected<Json, std::string> parse_strict_json(std::string_view text, int max_depth) {
  JsonStructureChecker check(max_depth);
  const auto on_event = [&check](int depth, Json::parse_event_t event, Json& parsed) {
    return check.on_event(depth, event, parsed);
  };
  Json document = Json::parse(text, on_event, false);
  if (const std::string error = check.error(); !error.empty()) {
    return tl::unexpected(error);
  }
  if (document.is_discarded()) {
    return tl::unexpected(std::string("the text is not a valid JSON document"));
  }
  return document;
}

}  // namespace teaselrudder
