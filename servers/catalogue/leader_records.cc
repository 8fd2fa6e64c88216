#include "servers/catalogue/leader_records.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "core/parse_number.h"
#include "core/take_word.h"

namespace teaselrudder {

namespace {

/// Value of a record: term and member, separated by a space.
std::string encode(const GroupLeader& leader) {
  return std::to_string(leader.term.value()) + " " + leader.member.value();
}

std::optional<GroupLeader> decode(std::string_view text) {
  const auto term = parse_unsigned(take_word(text));
  if (!term.has_value() || *term == 0 || text.empty()) {
    return std::nullopt;
  }
  return GroupLeader{MemberId(std::string(text)), Term(*term)};
}

}  // namespace

void LeaderRecords::on_record(const RecordChanged& record) {
  const GroupId group(record.key.substr(kPrefix.size()));
  if (!record.value.has_value()) {
    m_records.erase(group);
    return;
  }
  const std::optional<GroupLeader> leader = decode(*record.value);
  if (!leader.has_value()) {
    m_counters.count("leader_records_malformed");
  }
  m_records[group] = {leader, record.revision};
}

void LeaderRecords::on_store_restored() {
  m_records.clear();
  m_running.clear();
  m_next_attempt = {};
}

bool LeaderRecords::lacks(const GroupId& group, const GroupLeader& leader) const {
  const auto wanted = m_wanted.find(group);
  const bool is_wanted = wanted != m_wanted.end() && wanted->second.term >= leader.term;
  return !is_wanted && !is_recorded(group, leader.term);
}

std::optional<GroupLeader> LeaderRecords::recorded(const GroupId& group) const {
  const auto found = m_records.find(group);
  return found == m_records.end() ? std::nullopt : found->second.leader;
}

bool LeaderRecords::is_recorded(const GroupId& group, Term term) const {
  const std::optional<GroupLeader> leader = recorded(group);
  return leader.has_value() && leader->term >= term;
}

void LeaderRecords::record(const GroupId& group, const GroupLeader& leader) {
  m_wanted[group] = leader;
  m_next_attempt = {};
}

void LeaderRecords::on_tick(TimePoint now) {
  if (m_wanted.empty() || now < m_next_attempt) {
    return;
  }
  m_next_attempt = now + kRetryDelay;
  std::erase_if(m_wanted, [this](const auto& wanted) { return is_recorded(wanted.first, wanted.second.term); });
  for (const auto& wanted : m_wanted) {
    const GroupId& group = wanted.first;
    const GroupLeader& leader = wanted.second;
    const bool is_running = std::any_of(m_running.begin(), m_running.end(),
                                        [&group](const auto& running) { return running.second.group == group; });
    if (is_running) {
      continue;
    }
    const auto known = m_records.find(group);
    const StoreRevision expected = known == m_records.end() ? StoreRevision(0) : known->second.revision;
    const StoreCallId call(m_next_call++);
    m_running[call] = {group, leader};
    m_store.write(call, std::string(kPrefix) + group.value(), expected, encode(leader), LeaseId(0), *this);
  }
}

void LeaderRecords::on_coordination_result(StoreCallId call,
                                           tl::expected<CoordinationResult, CoordinationError> outcome,
                                           TimePoint /*now*/) {
  const auto running = m_running.extract(call);
  if (running.empty()) {
    return;
  }
  const auto& [group, leader] = running.mapped();
  if (!outcome.has_value()) {
    // The record is written again later, unless the store's watch reports meanwhile that it took effect.
    m_counters.count("leader_records_not_written");
    m_log.log_state_change("leader_not_recorded", {{"group", group.value()}, {"cause", outcome.error().message}});
    return;
  }
  if (const auto* revision = std::get_if<StoreRevision>(&*outcome)) {
    m_records[group] = {leader, *revision};
    if (is_recorded(group, m_wanted.contains(group) ? m_wanted.at(group).term : Term(0))) {
      m_wanted.erase(group);
    }
  }
}

}  // namespace teaselrudder
