#include "core/chart/state_chart.h"

#include <algorithm>
#include <pugixml.hpp>

namespace teaselrudder {

namespace {

// Marks an event without a transition.
constexpr std::size_t kUnset = static_cast<std::size_t>(-1);

std::optional<std::size_t> index_of(const std::vector<std::string>& names, std::string_view name) {
  const auto found = std::find(names.begin(), names.end(), name);
  if (found == names.end()) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(found - names.begin());
}

bool is_state_element(const pugi::xml_node& node) {
  const std::string_view name = node.name();
  return name == "state" || name == "final";
}

// Parses the transitions of `state` into `targets`, indexed by event. Returns the error, if any.
std::optional<std::string> read_transitions(const pugi::xml_node& node, std::size_t state,
                                            const std::vector<std::string>& states,
                                            const std::vector<std::string>& events, std::vector<std::size_t>& targets) {
  for (const pugi::xml_node& transition : node.children("transition")) {
    const std::string event = transition.attribute("event").as_string();
    const std::optional<std::size_t> event_index = index_of(events, event);
    if (!event_index.has_value()) {
      return "state " + states[state] + ": unknown event '" + event + "'";
    }
    if (targets[*event_index] != kUnset) {
      return "state " + states[state] + ": two transitions for event '" + event + "'";
    }
    const std::string target = transition.attribute("target").as_string();
    const std::optional<std::size_t> target_index =
        target.empty() ? std::optional<std::size_t>(state) : index_of(states, target);
    if (!target_index.has_value()) {
      return "state " + states[state] + ": unknown target '" + target + "'";
    }
    targets[*event_index] = *target_index;
  }
  return std::nullopt;
}

std::vector<bool> find_reachable(std::size_t initial, const std::vector<std::vector<ChartState>>& targets) {
  std::vector<bool> reachable(targets.size(), false);
  std::vector<std::size_t> pending = {initial};
  while (!pending.empty()) {
    const std::size_t state = pending.back();
    pending.pop_back();
    if (reachable[state]) {
      continue;
    }
    reachable[state] = true;
    for (const ChartState target : targets[state]) {
      pending.push_back(target.value());
    }
  }
  return reachable;
}

}  // namespace

tl::expected<StateChart, std::string> StateChart::load(std::string_view name, std::string_view document,
                                                       const std::vector<std::string>& states,
                                                       const std::vector<std::string>& events) {
  const auto fail = [&name](const std::string& reason) {
    return tl::unexpected("chart " + std::string(name) + ": " + reason);
  };
  pugi::xml_document xml;
  const pugi::xml_parse_result parsed = xml.load_buffer(document.data(), document.size());
  if (!parsed) {
    return fail(std::string("not XML: ") + parsed.description());
  }
  const pugi::xml_node root = xml.child("scxml");
  if (!root) {
    return fail("no scxml element");
  }

  StateChart chart;
  chart.m_states = states;
  chart.m_targets.resize(states.size());
  chart.m_final.resize(states.size(), false);
  std::vector<bool> seen(states.size(), false);
  for (const pugi::xml_node& node : root.children()) {
    if (!is_state_element(node)) {
      continue;
    }
    const std::string id = node.attribute("id").as_string();
    const std::optional<std::size_t> state = index_of(states, id);
    if (!state.has_value()) {
      return fail("unknown state '" + id + "'");
    }
    if (seen[*state]) {
      return fail("state " + id + " appears twice");
    }
    seen[*state] = true;
    chart.m_final[*state] = std::string_view(node.name()) == "final";

    std::vector<std::size_t> targets(events.size(), kUnset);
    const std::optional<std::string> error = read_transitions(node, *state, states, events, targets);
    if (error.has_value()) {
      return fail(*error);
    }
    for (std::size_t event = 0; event < events.size(); ++event) {
      if (targets[event] == kUnset && !chart.m_final[*state]) {
        return fail("state " + id + ": event '" + events[event] + "' is neither handled nor ignored");
      }
      chart.m_targets[*state].push_back(ChartState(targets[event] == kUnset ? *state : targets[event]));
    }
  }

  const auto missing = std::find(seen.begin(), seen.end(), false);
  if (missing != seen.end()) {
    return fail("state '" + states[static_cast<std::size_t>(missing - seen.begin())] + "' is missing");
  }
  const std::string initial = root.attribute("initial").as_string();
  const std::optional<std::size_t> initial_index = index_of(states, initial);
  if (!initial_index.has_value()) {
    return fail("unknown initial state '" + initial + "'");
  }
  chart.m_initial = ChartState(*initial_index);
  const std::vector<bool> reachable = find_reachable(*initial_index, chart.m_targets);
  const auto unreachable = std::find(reachable.begin(), reachable.end(), false);
  if (unreachable != reachable.end()) {
    return fail("state " + states[static_cast<std::size_t>(unreachable - reachable.begin())] + " is unreachable");
  }
  return chart;
}

}  // namespace teaselrudder
