#include "servers/operator/command_service.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "core/overloaded.h"
#include "servers/operator/command_parser.h"

namespace teaselrudder {

namespace {

using Json = nlohmann::json;

// Serializes `json`. Invalid UTF-8, which a command may contain, is replaced.
std::string write_json(const Json& json) { return json.dump(-1, ' ', false, Json::error_handler_t::replace); }

Json cell_to_json(const CellValue& cell) {
  return std::visit(Overloaded{
                        [](std::monostate) { return Json(); },
                        [](const auto& value) { return Json(value); },
                    },
                    cell);
}

// Returns the text form of a cell that OF and WHERE compare with.
std::string cell_to_text(const CellValue& cell) {
  return std::visit(Overloaded{
                        [](std::monostate) { return std::string("null"); },
                        [](bool value) { return std::string(value ? "yes" : "no"); },
                        [](std::uint64_t value) { return std::to_string(value); },
                        [](const std::string& value) { return value; },
                    },
                    cell);
}

Json differences_to_json(const std::vector<ConfigurationDifference>& differences) {
  Json list = Json::array();
  for (const ConfigurationDifference& difference : differences) {
    list.push_back({{"item", difference.item},
                    {"field", difference.field},
                    {"from", difference.from.has_value() ? Json(*difference.from) : Json()},
                    {"to", difference.to.has_value() ? Json(*difference.to) : Json()}});
  }
  return list;
}

Json change_to_json(ConfigurationVersion version, const std::vector<ConfigurationDifference>& differences,
                    bool applied) {
  return {{"version", version.value()}, {"difference", differences_to_json(differences)}, {"applied", applied}};
}

std::string join(const std::vector<std::string_view>& names) {
  std::string joined;
  for (const std::string_view name : names) {
    joined += (joined.empty() ? "" : ", ") + std::string(name);
  }
  return joined;
}

}  // namespace

CommandService::CommandService(const OperatorView& view, ConfigurationManager& manager, OperatorPort& operators,
                               Counters& counters)
    : m_view(view), m_configuration_manager(manager), m_operators(operators), m_counters(counters) {}

void CommandService::on_operator_command(OperatorRequestId request, std::string command, bool check_only,
                                         TimePoint now) {
  m_counters.count("operator_commands");
  const auto parsed = parse_command(command);
  if (!parsed.has_value()) {
    reject(request, RefusalReason::kBadRequest, parsed.error());
    return;
  }
  std::visit(Overloaded{
                 [&](const ShowQuery& query) { run_query(request, query, now); },
                 [&](const ChangeCommand& change) { run_change(request, change, check_only, now); },
             },
             *parsed);
}

void CommandService::on_change_finished(ChangeNumber change, const ChangeOutcome& outcome) {
  const auto node = m_open.extract(change);
  if (node.empty()) {
    return;
  }
  const OpenChange& open = node.mapped();
  if (!outcome.has_value()) {
    refuse(open.request, outcome.error());
    return;
  }
  Json json = change_to_json(outcome->version, open.differences, true);
  json["change_id"] = outcome->change_id;
  m_operators.answer(open.request, {OperatorOutcome::kDone, write_json(json)});
}

void CommandService::run_query(OperatorRequestId request, const ShowQuery& query, TimePoint now) {
  const std::vector<std::string_view> columns = show_columns(query.target);
  std::size_t filter_index = columns.size();
  if (query.where.has_value()) {
    filter_index =
        static_cast<std::size_t>(std::find(columns.begin(), columns.end(), query.where->column) - columns.begin());
    if (filter_index == columns.size()) {
      reject(request, RefusalReason::kBadRequest, {query.where->position, join(columns), "unknown column in WHERE"});
      return;
    }
  }
  Json rows = Json::array();
  for (const CellRow& row : m_view.show_rows(query.target, now)) {
    const bool matches_of = !query.of.has_value() || cell_to_text(row.front()) == *query.of;
    const bool matches_where = !query.where.has_value() || cell_to_text(row.at(filter_index)) == query.where->value;
    if (!matches_of || !matches_where) {
      continue;
    }
    Json object = Json::object();
    for (std::size_t index = 0; index < columns.size(); ++index) {
      object[std::string(columns[index])] = cell_to_json(row.at(index));
    }
    rows.push_back(std::move(object));
  }
  m_operators.answer(request, {OperatorOutcome::kDone, write_json({{"rows", std::move(rows)}})});
}

void CommandService::run_change(OperatorRequestId request, const ChangeCommand& command, bool check_only,
                                TimePoint now) {
  const Configuration& current = m_configuration_manager.current();
  if (command.based_on.has_value() && *command.based_on != current.version) {
    ChangeError error;
    error.reason = RefusalReason::kConfigurationConflict;
    error.ran = Ran::kNo;
    error.based_on = *command.based_on;
    error.present = current.version;
    error.detail = "the change is based on version " + std::to_string(command.based_on->value()) + ", but version " +
                   std::to_string(current.version.value()) + " is the current one on this host";
    refuse(request, error);
    return;
  }
  auto edited = edit_configuration(current, command.changes);
  if (!edited.has_value()) {
    reject(request, RefusalReason::kConfigurationInvalid, edited.error());
    return;
  }
  std::vector<ConfigurationDifference> differences = find_differences(current, *edited);
  if (check_only || differences.empty()) {
    const Json json = change_to_json(current.version, differences, false);
    m_operators.answer(request, {OperatorOutcome::kDone, write_json(json)});
    return;
  }
  const auto change = m_configuration_manager.change(std::move(*edited), now);
  if (!change.has_value()) {
    refuse(request, change.error());
    return;
  }
  m_open.emplace(*change, OpenChange{request, std::move(differences)});
}

void CommandService::refuse(OperatorRequestId request, const ChangeError& error) {
  m_counters.count_refusal(error.reason, error.ran);
  Json json = {{"reason", to_string(error.reason)},
               {"ran", to_string(error.ran)},
               {"detail", error.detail},
               {"based_on_version", error.based_on.value()}};
  if (error.present.has_value()) {
    json["present_version"] = error.present->value();
  }
  if (!error.change_id.empty()) {
    json["change_id"] = error.change_id;
  }
  m_operators.answer(request, {OperatorOutcome::kRefused, write_json({{"error", std::move(json)}})});
}

void CommandService::reject(OperatorRequestId request, RefusalReason reason, const CommandError& error) {
  m_counters.count_refusal(reason, Ran::kNo);
  const Json json = {{"reason", to_string(reason)},     {"ran", to_string(Ran::kNo)}, {"line", error.position.line},
                     {"column", error.position.column}, {"expected", error.expected}, {"detail", error.detail}};
  m_operators.answer(request, {OperatorOutcome::kInvalid, write_json({{"error", json}})});
}

}  // namespace teaselrudder
