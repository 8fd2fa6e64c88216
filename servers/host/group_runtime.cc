#include "servers/host/group_runtime.h"

#include <algorithm>
#include <utility>

#include "core/overloaded.h"

namespace teaselrudder {

namespace {

// Extracts the GrantResult that DatabaseGroup expects. Any other kind of result becomes the error kBadAnswer.
tl::expected<GrantResult, UpstreamError> as_grant(const tl::expected<UpstreamResult, UpstreamError>& result) {
  if (!result.has_value()) {
    return tl::unexpected(result.error());
  }
  if (const auto* grant = std::get_if<GrantResult>(&*result)) {
    return *grant;
  }
  UpstreamError error;
  error.kind = UpstreamErrorKind::kBadAnswer;
  return tl::unexpected(error);
}

// Returns the name under which this process asks for terms. A member grants a term to one candidate, and grants it
// again if the same candidate repeats the request. A restarted host does not know which member it promoted in a term,
// so it must not get a term that was granted to its earlier process. The incarnation tells the processes apart, and the
// random seed does so if the clock was set back and the incarnation is the same.
HostId candidate_of(const HostSettings& settings) {
  return HostId(settings.self.host.value() + '.' + std::to_string(settings.self.incarnation.value()) + '.' +
                std::to_string(settings.random_seed));
}

}  // namespace

GroupRuntime::GroupRuntime(const GroupConfiguration& configuration, std::uint32_t prefix, HostContext& context,
                           TimePoint now)
    : m_configuration(configuration),
      m_prefix(prefix),
      m_context(context),
      m_ids(prefix),
      m_candidate(candidate_of(context.settings)),
      m_group(configuration, m_candidate, context.settings.group_timings, context.charts.group, now) {
  for (const MemberConfiguration& member : m_configuration.members) {
    add_member(member);
  }
}

void GroupRuntime::update_configuration(const GroupConfiguration& configuration, TimePoint now) {
  if (configuration == m_configuration) {
    return;
  }
  const GroupConfiguration previous = std::exchange(m_configuration, configuration);
  for (const MemberConfiguration& member : previous.members) {
    const MemberConfiguration* kept = m_configuration.find_member(member.id);
    if (kept == nullptr || kept->endpoint != member.endpoint) {
      // Work on a removed member fails as after a lost connection, so that its requests are resolved or routed again.
      if (MemberExecutor* executor = find_executor(member.id)) {
        executor->shut_down(now);
        for (WorkOutcome& outcome : executor->take_outcomes()) {
          m_notifications.emplace_back(MemberWorkEnded{member.id, std::move(outcome)});
        }
      }
      m_members.erase(member.id);
    }
  }
  for (const MemberConfiguration& member : m_configuration.members) {
    if (!m_members.contains(member.id)) {
      add_member(member);
    }
  }
  m_group.update_configuration(configuration, now);
  update_ownership(m_ownership, now);
}

void GroupRuntime::update_ownership(const GroupOwnership& ownership, TimePoint now) {
  m_ownership = ownership;
  m_group.update_owners(ownership.rank, ownership.owners, now);
  for (const MemberConfiguration& member : m_configuration.members) {
    if (MemberExecutor* executor = find_executor(member.id)) {
      const bool owned = ownership.owned_members.contains(member.id);
      executor->set_limits(owned ? member.slots : 1, connection_limit(member));
    }
  }
}

void GroupRuntime::on_opened(ConnectionId connection, const tl::expected<void, UpstreamError>& outcome, TimePoint now) {
  MemberRuntime* member = find_owner(connection);
  if (member == nullptr) {
    return;
  }
  if (member->control->owns(connection)) {
    member->control->on_opened(outcome);
  } else {
    member->executor->on_opened(connection, outcome, now);
  }
  collect_results(now);
}

void GroupRuntime::on_completed(ConnectionId connection, OperationId operation,
                                tl::expected<UpstreamResult, UpstreamError> outcome, TimePoint now) {
  MemberRuntime* member = find_owner(connection);
  if (member == nullptr) {
    return;
  }
  if (member->control->owns(connection)) {
    member->control->on_completed(operation, std::move(outcome));
  } else {
    member->executor->on_completed(connection, operation, std::move(outcome), now);
  }
  collect_results(now);
}

void GroupRuntime::on_closed(ConnectionId connection, TimePoint now) {
  MemberRuntime* member = find_owner(connection);
  if (member == nullptr) {
    return;
  }
  if (member->control->owns(connection)) {
    member->control->on_closed();
  } else {
    member->executor->on_closed(connection, now);
  }
  collect_results(now);
}

void GroupRuntime::on_tick(TimePoint now) {
  for (auto& [id, member] : m_members) {
    const std::optional<TimePoint> due = member.executor->next_wakeup();
    if (due.has_value() && *due <= now) {
      member.executor->on_tick(now);
    }
  }
  if (m_group.next_wakeup() <= now) {
    m_group.on_tick(m_context.random.next_double(), now);
  }
  collect_results(now);
}

void GroupRuntime::execute_actions(TimePoint now) {
  for (const GroupAction& action : m_group.take_actions()) {
    execute_action(action, now);
  }
}

std::vector<GroupNotification> GroupRuntime::take_notifications() { return std::exchange(m_notifications, {}); }

TimePoint GroupRuntime::next_wakeup() const {
  TimePoint earliest = m_group.next_wakeup();
  for (const auto& [id, member] : m_members) {
    if (const std::optional<TimePoint> due = member.executor->next_wakeup()) {
      earliest = std::min(earliest, *due);
    }
  }
  return earliest;
}

MemberExecutor* GroupRuntime::find_executor(const MemberId& member) {
  const auto found = m_members.find(member);
  return found == m_members.end() ? nullptr : found->second.executor.get();
}

std::map<MemberId, Duration> GroupRuntime::expected_waits(Urgency urgency, TimePoint now) const {
  // Approximate network round trip between hosts in different failure domains.
  constexpr Duration kRemoteMemberPenalty = std::chrono::milliseconds(3);
  std::map<MemberId, Duration> waits;
  for (const MemberConfiguration& member : m_configuration.members) {
    const auto found = m_members.find(member.id);
    if (found == m_members.end()) {
      continue;
    }
    const bool local = member.failure_domain == m_context.settings.self.failure_domain;
    waits[member.id] =
        found->second.executor->expected_wait(urgency, now) + (local ? Duration::zero() : kRemoteMemberPenalty);
  }
  return waits;
}

bool GroupRuntime::busy() const {
  return std::any_of(m_members.begin(), m_members.end(),
                     [](const auto& entry) { return entry.second.executor->busy(); });
}

void GroupRuntime::add_member(const MemberConfiguration& member) {
  QueueLimits queue_limits;
  queue_limits.slots = member.slots;
  queue_limits.max_queue = m_context.settings.max_queue;
  PoolLimits pool_limits = m_context.settings.pool_limits;
  pool_limits.connections = connection_limit(member);
  MemberRuntime runtime;
  runtime.control = std::make_unique<ControlChannel>(member.endpoint, m_context.ports.upstreams, m_ids);
  runtime.executor = std::make_unique<MemberExecutor>(queue_limits, member.endpoint, pool_limits,
                                                      m_context.charts.connection, m_context.ports.upstreams, m_ids);
  m_members.emplace(member.id, std::move(runtime));
}

std::uint32_t GroupRuntime::connection_limit(const MemberConfiguration& member) const {
  if (!m_ownership.owned_members.contains(member.id)) {
    return m_context.settings.reserve_connections;
  }
  // The owner in each failure domain keeps one control connection, and the owners in the other domains may use their
  // reserve_connections.
  const auto domains = static_cast<std::uint32_t>(m_ownership.owners);
  const std::uint32_t kept = domains + (domains - 1) * m_context.settings.reserve_connections;
  return member.connections > kept + member.slots ? member.connections - kept : member.slots;
}

void GroupRuntime::execute_action(const GroupAction& action, TimePoint now) {
  std::visit(
      Overloaded{
          [&](const SendProbe& probe) { submit_control(probe.member, probe, ReportStatus{}, probe.new_connection); },
          [&](const SendRaiseTerm& raise) {
            submit_control(raise.member, raise, RaiseTerm{raise.term, m_candidate}, false);
          },
          [&](const SendPromote& promote) {
            submit_control(promote.member, promote, Promote{promote.term, m_candidate}, false);
          },
          [&](const SendFollow& follow) {
            submit_control(follow.member, follow, Follow{follow.term, endpoint_of(follow.primary)}, false);
          },
          [&](const auto& notification) { m_notifications.emplace_back(notification); },
      },
      action);
  collect_results(now);
}

void GroupRuntime::submit_control(const MemberId& member, ControlCommand command, UpstreamOperation operation,
                                  bool new_connection) {
  const auto found = m_members.find(member);
  if (found != m_members.end()) {
    found->second.control->submit(std::move(command), std::move(operation), new_connection);
  }
}

void GroupRuntime::collect_results(TimePoint now) {
  for (auto& [id, member] : m_members) {
    for (const ControlResult& result : member.control->take_results()) {
      process_control_result(id, result, now);
    }
    for (WorkOutcome& outcome : member.executor->take_outcomes()) {
      m_notifications.emplace_back(MemberWorkEnded{id, std::move(outcome)});
    }
  }
}

void GroupRuntime::process_control_result(const MemberId& member, const ControlResult& result, TimePoint now) {
  std::visit(Overloaded{
                 [&](const SendProbe& probe) {
                   const auto* report =
                       result.result.has_value() ? std::get_if<StatusResult>(&*result.result) : nullptr;
                   if (report == nullptr) {
                     m_group.on_probe_failed(member, probe.probe, now);
                     return;
                   }
                   m_group.on_probe_report(member, probe.probe, report->status, now);
                 },
                 [&](const SendRaiseTerm& raise) {
                   m_group.on_raise_result(member, raise.term, as_grant(result.result), now);
                 },
                 [&](const SendPromote& promote) {
                   m_group.on_promote_result(member, promote.term, as_grant(result.result), now);
                 },
                 [&](const SendFollow& follow) {
                   m_group.on_follow_result(member, follow.term, as_grant(result.result), now);
                 },
             },
             result.command);
}

Endpoint GroupRuntime::endpoint_of(const MemberId& member) const {
  const MemberConfiguration* found = m_configuration.find_member(member);
  return found == nullptr ? Endpoint() : found->endpoint;
}

GroupRuntime::MemberRuntime* GroupRuntime::find_owner(ConnectionId connection) {
  for (auto& [id, member] : m_members) {
    if (member.control->owns(connection) || member.executor->owns(connection)) {
      return &member;
    }
  }
  return nullptr;
}

}  // namespace teaselrudder
