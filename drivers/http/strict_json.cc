#include "drivers/http/strict_json.h"

#include <set>
#include <utility>
#include <vector>

namespace teaselrudder {

namespace {

using Json = nlohmann::json;

/// Looks for excessive depth and repeated fields while a document is being read.
class StructureCheck {
 public:
  explicit StructureCheck(int max_depth) : m_max_depth(max_depth) {}

  /// Returns false for parts that need not be kept, because the document is refused.
  bool on_event(int depth, Json::parse_event_t event, const Json& parsed) {
    if (event == Json::parse_event_t::object_start || event == Json::parse_event_t::array_start) {
      m_too_deep = m_too_deep || depth >= m_max_depth;
      m_fields.emplace_back();
    } else if (event == Json::parse_event_t::object_end || event == Json::parse_event_t::array_end) {
      m_fields.pop_back();
    } else if (event == Json::parse_event_t::key && !m_fields.back().insert(parsed.get<std::string>()).second) {
      m_repeated = parsed.get<std::string>();
    }
    return !m_too_deep;
  }

  /// Returns what is wrong, or an empty text.
  std::string error() const {
    if (m_too_deep) {
      return "JSON nests deeper than " + std::to_string(m_max_depth) + " levels";
    }
    return m_repeated.empty() ? "" : "field '" + m_repeated + "' appears twice";
  }

 private:
  int m_max_depth;
  bool m_too_deep = false;
  std::string m_repeated;
  std::vector<std::set<std::string>> m_fields;
};

}  // namespace

tl::expected<Json, std::string> parse_strict_json(std::string_view text, int max_depth) {
  StructureCheck check(max_depth);
  const auto on_event = [&check](int depth, Json::parse_event_t event, Json& parsed) {
    return check.on_event(depth, event, parsed);
  };
  Json document = Json::parse(text, on_event, false);
  if (const std::string error = check.error(); !error.empty()) {
    return tl::unexpected(error);
  }
  if (document.is_discarded()) {
    return tl::unexpected(std::string("not a JSON document"));
  }
  return document;
}

}  // namespace teaselrudder
