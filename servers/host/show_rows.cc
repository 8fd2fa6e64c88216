#include "servers/host/show_rows.h"

#include <algorithm>
#include <array>

#include "core/config/configuration_json.h"
#include "servers/host/entry_host.h"
#include "servers/membership/rendezvous.h"

namespace teaselrudder {

namespace {

using Rows = std::vector<CellRow>;

std::string endpoint_text(const Endpoint& endpoint) { return endpoint.ip + ':' + std::to_string(endpoint.port); }

std::uint64_t milliseconds(Duration duration) {
  return static_cast<std::uint64_t>(std::max<std::int64_t>(0, to_milliseconds(duration)));
}

std::string state_text(HostState state) {
  constexpr std::array<const char*, 4> kNames = {"alive", "suspect", "leaving", "dead"};
  return kNames.at(static_cast<std::size_t>(state));
}

GroupRuntime* find_runtime(const EntryHost& host, const GroupId& group) {
  const auto found = host.groups().runtimes().find(group);
  return found == host.groups().runtimes().end() ? nullptr : found->second.get();
}

Rows show_hosts(const EntryHost& host) {
  Rows rows;
  for (const HostRecord& record : host.hosts().all_records()) {
    rows.push_back({record.host.value(), record.failure_domain.value(), endpoint_text(record.peer_endpoint),
                    record.incarnation.value(), state_text(record.state),
                    host.configuration_manager().is_relay(record.host)});
  }
  return rows;
}

Rows show_groups(const EntryHost& host, TimePoint now) {
  Rows rows;
  for (const auto& [id, group] : host.configuration().groups) {
    const GroupRuntime* const runtime = find_runtime(host, id);
    const auto owner = host.groups().owner_of(id, host.hosts().self().failure_domain);
    CellRow row = {id.value(),         std::uint64_t{group.members.size()},
                   runtime != nullptr, owner.has_value() ? CellValue(owner->value()) : CellValue(),
                   CellValue(),        CellValue(),
                   CellValue()};
    if (runtime != nullptr) {
      const auto primary = runtime->group().primary();
      row[4] = primary.has_value() ? CellValue(primary->member.value()) : CellValue();
      row[5] = runtime->group().highest_known_term().value();
      row[6] = runtime->group().majority_reachable(now);
    }
    rows.push_back(std::move(row));
  }
  return rows;
}

CellRow show_upstream(const EntryHost& host, const GroupId& group, const MemberConfiguration& member, TimePoint now) {
  const bool leaving = member.leaving || host.configuration().draining_failure_domains.contains(member.failure_domain);
  CellRow row = {group.value() + '/' + member.id.value(),
                 endpoint_text(member.endpoint),
                 member.failure_domain.value(),
                 std::uint64_t{member.slots},
                 std::uint64_t{member.connections},
                 leaving,
                 CellValue(),
                 CellValue(),
                 CellValue(),
                 CellValue(),
                 CellValue()};
  const GroupRuntime* const runtime = find_runtime(host, group);
  const MemberView* const view = runtime == nullptr ? nullptr : runtime->group().find_member(member.id);
  if (view != nullptr) {
    row[6] = view->status.is_primary;
    row[7] = view->status.log_term.value();
    row[8] = view->status.received.value();
    row[9] = view->status.replayed.value();
    row[10] = milliseconds(now - view->reported_at);
  }
  return row;
}

Rows show_upstreams(const EntryHost& host, TimePoint now) {
  Rows rows;
  for (const auto& [id, group] : host.configuration().groups) {
    for (const MemberConfiguration& member : group.members) {
      rows.push_back(show_upstream(host, id, member, now));
    }
  }
  return rows;
}

Rows show_services(const EntryHost& host) {
  Rows rows;
  for (const auto& [name, service] : host.configuration().services) {
    rows.push_back({name.value(), service.group.value(), std::string(to_string(service.freshness)),
                    milliseconds(service.max_age), std::string(to_string(service.urgency)), service.idempotent,
                    service.read_only, milliseconds(service.deadline), std::uint64_t{service.max_in_flight},
                    std::uint64_t{host.requests_in_flight(name)}});
  }
  return rows;
}

Rows show_queues(const EntryHost& host, TimePoint now) {
  Rows rows;
  for (const auto& [id, runtime] : host.groups().runtimes()) {
    for (const MemberConfiguration& member : runtime->configuration().members) {
      const MemberExecutor* const executor = runtime->find_executor(member.id);
      if (executor == nullptr) {
        continue;
      }
      rows.push_back({id.value() + '/' + member.id.value(), std::uint64_t{executor->queued()},
                      std::uint64_t{executor->running()}, milliseconds(executor->expected_wait(Urgency::kUrgent, now)),
                      milliseconds(executor->expected_wait(Urgency::kNormal, now)),
                      milliseconds(executor->expected_wait(Urgency::kBackground, now))});
    }
  }
  return rows;
}

Rows show_refusals(const Counters& counters) {
  Rows rows;
  for (std::size_t index = 0; index < kRefusalReasonCount; ++index) {
    const auto reason = static_cast<RefusalReason>(index);
    rows.push_back({std::string(to_string(reason)), counters.refusals(reason, Ran::kNo),
                    counters.refusals(reason, Ran::kYes), counters.refusals(reason, Ran::kUnknown)});
  }
  return rows;
}

Rows show_retries(const Counters& counters) {
  Rows rows;
  for (std::size_t index = 0; index < kRetryReasonCount; ++index) {
    const auto reason = static_cast<RetryReason>(index);
    rows.push_back({std::string(to_string(reason)), counters.retries(reason)});
  }
  return rows;
}

Rows show_configuration(const Configuration& configuration) {
  Rows rows = {{std::string("version"), std::to_string(configuration.version.value()), configuration.version.value()},
               {std::string("change_id"), configuration.change_id, configuration.version.value()}};
  for (const HostId& host : configuration.draining_hosts) {
    rows.push_back({std::string("draining_host"), host.value(), CellValue()});
  }
  for (const FailureDomainId& domain : configuration.draining_failure_domains) {
    rows.push_back({std::string("draining_failure_domain"), domain.value(), CellValue()});
  }
  std::uint64_t version = configuration.version.value();
  for (auto change = configuration.recent_changes.rbegin(); change != configuration.recent_changes.rend(); ++change) {
    rows.push_back({std::string("recent_change"), *change, version--});
  }
  return rows;
}

Rows show_versions(const EntryHost& host) {
  Rows rows;
  for (const auto& [id, version] : host.configuration_manager().versions()) {
    rows.push_back({id.value(), version.value()});
  }
  return rows;
}

Rows show_decisions(const EntryHost& host, TimePoint now) {
  Rows rows;
  for (const DecisionEntry& entry : host.decisions().entries_for(std::string())) {
    rows.push_back({entry.subject, entry.event, entry.cause, milliseconds(now - entry.at)});
  }
  return rows;
}

}  // namespace

std::vector<CellRow> show_host_rows(const EntryHost& host, ShowTarget target, TimePoint now) {
  switch (target) {
    case ShowTarget::kHosts:
      return show_hosts(host);
    case ShowTarget::kGroups:
      return show_groups(host, now);
    case ShowTarget::kUpstreams:
      return show_upstreams(host, now);
    case ShowTarget::kServices:
      return show_services(host);
    case ShowTarget::kQueues:
      return show_queues(host, now);
    case ShowTarget::kRefusals:
      return show_refusals(host.counters());
    case ShowTarget::kRetries:
      return show_retries(host.counters());
    case ShowTarget::kConfiguration:
      return show_configuration(host.configuration());
    case ShowTarget::kVersions:
      return show_versions(host);
    case ShowTarget::kDecisions:
      return show_decisions(host, now);
  }
  return {};
}

}  // namespace teaselrudder
