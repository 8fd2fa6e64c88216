#include "tests/soak/soak_run.h"

#include <algorithm>
#include <csignal>
#include <iostream>
#include <utility>

namespace teaselrudder::soak {

namespace {

constexpr std::uint64_t kTickIntervalMs = 1;
/// Maximum time between the starts of two faults, and maximum duration of a fault. Faults overlap.
constexpr std::size_t kMaxFaultGapMs = 900;
constexpr std::size_t kMaxFaultMs = 3000;
/// Delay before an ended host process is restarted.
constexpr Duration kRestartPause = std::chrono::milliseconds(200);
/// Delay before a caller whose session ended opens the next one.
constexpr Duration kSessionPause = std::chrono::milliseconds(50);
/// Time from publishing the entry of a restarted member until it accepts connections and receives the log.
constexpr Duration kRegistrationTime = std::chrono::milliseconds(200);
constexpr Duration kMaxStaleness = std::chrono::milliseconds(1500);
/// Maximum age of the copy from which the store is restored, and maximum time until its writers have noticed.
constexpr std::size_t kMaxCopyAgeMs = 12000;
constexpr std::size_t kMaxRewriteDelayMs = 1500;
/// Time for which a leaving member continues to serve.
constexpr Duration kLeavingTime = std::chrono::seconds(4);

}  // namespace

SoakRun::SoakRun(SoakSettings settings)
    : m_settings(std::move(settings)),
      m_random(m_settings.seed),
      m_started_at(m_events.now()),
      m_members(m_events, GroupId("ledger"), 3),
      m_checker(m_members, kMaxStaleness),
      m_restart_at(m_settings.hosts),
      m_served_by_host(m_settings.hosts),
      m_shared{m_checker, [this] { return m_events.now(); }, {}, 0, m_settings.odd_texts},
      m_callers(m_settings.callers) {
  uv_loop_init(&m_loop);
  m_members.replaced_primary_continues = !m_settings.fenced;
  m_members.checks_tokens = m_settings.fenced;
  m_members.observe_runs([this](const RequestId& id, const model::StatementRun& run) { m_checker.on_run(id, run); });
  m_network = std::make_unique<SoakNetwork>(&m_loop, m_events, m_members, m_settings.hosts);
  uv_run(&m_loop, UV_RUN_NOWAIT);
  for (std::size_t index = 0; index < m_settings.hosts; ++index) {
    m_hosts.push_back(std::make_unique<HostProcess>(m_settings.program, m_settings.folder,
                                                    SoakNetwork::host_name(index), "domain" + std::to_string(index % 3),
                                                    m_network->host(index).ports));
    m_hosts.back()->write_settings(m_settings.fenced);
    m_hosts.back()->start();
  }
  for (std::size_t index = 0; index < m_callers.size(); ++index) {
    m_callers[index].host = index % m_settings.hosts;
  }
  uv_timer_init(&m_loop, &m_timer);
  m_timer.data = this;
}

SoakRun::~SoakRun() {
  m_hosts.clear();
  for (CallerSlot& slot : m_callers) {
    if (slot.caller != nullptr) {
      slot.caller->close();
    }
  }
  m_network.reset();
  uv_close(reinterpret_cast<uv_handle_t*>(&m_timer), nullptr);
  uv_run(&m_loop, UV_RUN_DEFAULT);
  uv_loop_close(&m_loop);
}

std::vector<std::string> SoakRun::run() {
  m_started_ns = uv_hrtime();
  m_stage_since = m_events.now();
  uv_timer_start(
      &m_timer, [](uv_timer_t* timer) { static_cast<SoakRun*>(timer->data)->on_tick(); }, kTickIntervalMs,
      kTickIntervalMs);
  uv_run(&m_loop, UV_RUN_DEFAULT);
  return m_checker.violations();
}

std::string SoakRun::summary() const {
  return "seed=" + std::to_string(m_settings.seed) + " faults=" + std::to_string(m_injected) +
         " sessions=" + std::to_string(m_shared.totals.sessions) + " served=" + std::to_string(m_shared.totals.served) +
         " refused=" + std::to_string(m_shared.totals.refused) +
         " broken_off=" + std::to_string(m_shared.totals.interrupted) +
         " promotions=" + std::to_string(m_members.promotions());
}

void SoakRun::on_tick() {
  const TimePoint now =
      m_started_at + std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(uv_hrtime() - m_started_ns));
  m_events.run_for(now - m_events.now());
  m_network->on_tick();
  restart_ended_hosts();
  open_caller_sessions();
  advance();
}

void SoakRun::restart_ended_hosts() {
  for (std::size_t index = 0; index < m_hosts.size(); ++index) {
    HostProcess& host = *m_hosts[index];
    const bool was_running = host.is_running();
    if (host.reap()) {
      m_checker.add_violation("FAULT: " + host.name() + " exited unexpectedly");
    }
    if (was_running && !host.is_running()) {
      m_restart_at[index] = m_events.now() + kRestartPause;
    } else if (!host.is_running() && m_restart_at[index] <= m_events.now() && !m_removed_hosts.contains(index)) {
      host.start();
    }
  }
}

void SoakRun::open_caller_sessions() {
  for (std::size_t index = 0; index < m_callers.size(); ++index) {
    CallerSlot& slot = m_callers[index];
    if (slot.caller != nullptr || m_events.now() < slot.next_session) {
      continue;
    }
    // Every second session of a caller goes to the next host.
    slot.host = (slot.host + slot.opened_sessions % 2) % m_hosts.size();
    while (m_removed_hosts.contains(slot.host)) {
      slot.host = (slot.host + 1) % m_hosts.size();
    }
    ++slot.opened_sessions;
    const std::uint64_t seed = m_settings.seed * 1000003 + index * 1009 + slot.opened_sessions;
    const std::uint16_t port = m_hosts[slot.host]->ports().callers;
    slot.caller = new SoakCaller(&m_loop, m_shared, seed, port, [this, index](const SoakCaller::End& end) {
      CallerSlot& ended = m_callers[index];
      const HostProcess& host = *m_hosts[ended.host];
      if (end.unanswered.has_value() && m_checker.has_run(*end.unanswered) && host.stops_gracefully()) {
        m_checker.add_violation("LOST: " + host.name() + " stopped without an answer to " + end.unanswered->value());
      }
      m_served_by_host[ended.host] += end.served;
      ended.caller = nullptr;
      ended.next_session = m_events.now() + kSessionPause;
    });
    if (slot.caller->is_closed()) {
      slot.caller = nullptr;
    }
  }
}

bool SoakRun::all_hosts_serve() const {
  std::vector<std::uint64_t> served = m_served_by_host;
  for (const CallerSlot& slot : m_callers) {
    served[slot.host] += slot.caller != nullptr ? slot.caller->served() : 0;
  }
  for (std::size_t index = 0; index < m_hosts.size(); ++index) {
    const std::uint64_t before = m_served_after_faults.empty() ? 0 : m_served_after_faults[index];
    if (served[index] <= before && !m_removed_hosts.contains(index)) {
      return false;
    }
  }
  return true;
}

void SoakRun::advance() {
  const bool timed_out = m_events.now() >= m_stage_since + kRecoveryTimeout;
  const bool has_primary = m_members.primary() < m_members.size();
  switch (m_stage) {
    case Stage::kStarting:
      if (all_hosts_serve() || timed_out) {
        m_stage = Stage::kFaults;
        m_next_fault = m_events.now();
      }
      return;
    case Stage::kFaults:
      if (m_injected < m_settings.faults) {
        if (m_events.now() >= m_next_fault) {
          inject_fault();
        }
      } else if (m_active_faults == 0) {
        end_all_faults();
      }
      return;
    case Stage::kRecovering:
      if (timed_out) {
        m_checker.add_violation(has_primary ? "RECOVER: a host served no statement after the faults"
                                            : "RECOVER: the group has no primary after the faults");
      }
      // Acknowledged writes are looked up in the log of the primary, so a run does not end while it is being replaced.
      if (timed_out || (all_hosts_serve() && has_primary)) {
        m_stage = Stage::kDone;
        uv_stop(&m_loop);
      }
      return;
    case Stage::kDone:
      return;
  }
}

void SoakRun::end_all_faults() {
  for (std::size_t index = 0; index < m_members.size(); ++index) {
    m_members.member(index).receives_no_log = false;
    m_members.member(index).busy = false;
    m_members.member(index).loses_answers = false;
  }
  for (std::size_t host = 0; host < m_hosts.size(); ++host) {
    m_network->isolate(host, false);
  }
  m_stage = Stage::kRecovering;
  m_stage_since = m_events.now();
  // Statements that were in flight when the faults ended do not count as served after them.
  after(std::chrono::seconds(1), [this] {
    m_served_after_faults = m_served_by_host;
    for (const CallerSlot& slot : m_callers) {
      m_served_after_faults[slot.host] += slot.caller != nullptr ? slot.caller->served() : 0;
    }
  });
  m_served_after_faults.assign(m_hosts.size(), UINT64_MAX);
}

Duration SoakRun::begin_fault(const std::string& text) {
  const Duration duration = std::chrono::milliseconds(200 + random_below(kMaxFaultMs - 200));
  if (m_settings.prints_faults) {
    std::cout << to_milliseconds(m_events.now() - m_started_at) << " ms " << text << " for "
              << to_milliseconds(duration) << " ms" << std::endl;
  }
  ++m_active_faults;
  after(duration, [this] { --m_active_faults; });
  return duration;
}

void SoakRun::inject_fault() {
  ++m_injected;
  m_next_fault = m_events.now() + std::chrono::milliseconds(1 + random_below(kMaxFaultGapMs));
  switch (random_below(4)) {
    case 0:
      inject_host_fault();
      return;
    case 1:
      inject_member_fault();
      return;
    case 2:
      inject_network_fault();
      return;
    default:
      inject_platform_fault();
      return;
  }
}

void SoakRun::remove_host(std::size_t index) {
  if (m_removed_hosts.size() + 1 == m_hosts.size() || !m_removed_hosts.insert(index).second) {
    return;
  }
  const bool planned = random_below(2) == 0;
  begin_fault((planned ? "stop for good: " : "kill for good: ") + m_hosts[index]->name());
  m_hosts[index]->signal(planned ? SIGTERM : SIGKILL);
}

void SoakRun::inject_host_fault() {
  const std::size_t index = random_host();
  const std::string name = m_hosts[index]->name();
  if (m_settings.removes_hosts && random_below(2) == 0) {
    remove_host(index);
    return;
  }
  switch (random_below(5)) {
    case 0:
      begin_fault("kill " + name);
      m_hosts[index]->signal(SIGKILL);
      return;
    case 1:
      begin_fault("stop " + name);
      m_hosts[index]->signal(SIGTERM);
      return;
    case 2: {
      const Duration duration = begin_fault("freeze " + name);
      m_hosts[index]->signal(SIGSTOP);
      after(duration, [this, index] { m_hosts[index]->signal(SIGCONT); });
      return;
    }
    case 3:
      begin_fault("reload " + name);
      m_hosts[index]->signal(SIGHUP);
      return;
    default:
      begin_fault("kill all hosts");
      for (const auto& host : m_hosts) {
        host->signal(SIGKILL);
      }
      return;
  }
}

void SoakRun::crash_member(std::size_t index, bool unresponsive) {
  if (!m_members.member(index).alive) {
    return;
  }
  for (std::size_t host = 0; host < m_hosts.size(); ++host) {
    m_network->host(host).member_gateways[index]->set_refusing(!unresponsive);
  }
  m_members.crash(index, unresponsive);
}

void SoakRun::restart_member(std::size_t index) {
  model::ReplicatedMembers::Member& member = m_members.member(index);
  if (member.alive) {
    return;
  }
  member.entry.leaving = false;
  ++member.entry.started_at_ms;
  m_network->publish_member(index);
  after(kRegistrationTime, [this, index] {
    for (std::size_t host = 0; host < m_hosts.size(); ++host) {
      m_network->host(host).member_gateways[index]->set_refusing(false);
      m_network->host(host).member_gateways[index]->reset_connections();
    }
    if (!m_members.member(index).alive) {
      m_members.restart(index);
    }
  });
}

void SoakRun::inject_member_fault() {
  // Half of these faults affect the primary; the others affect any member.
  const std::size_t primary = m_members.primary();
  const std::size_t index =
      random_below(2) == 0 && primary < m_members.size() ? primary : random_below(m_members.size());
  model::ReplicatedMembers::Member& member = m_members.member(index);
  const std::string name = member.entry.member.value();
  switch (random_below(5)) {
    case 0:
    case 1: {
      const bool unresponsive = random_below(2) == 0;
      const Duration duration = begin_fault(std::string(unresponsive ? "hang " : "crash ") + name);
      crash_member(index, unresponsive);
      after(duration, [this, index] { restart_member(index); });
      return;
    }
    case 2: {
      const Duration duration = begin_fault("replica receives no log: " + name);
      member.receives_no_log = true;
      after(duration, [&member] { member.receives_no_log = false; });
      return;
    }
    case 3: {
      const Duration duration = begin_fault("answers are lost: " + name);
      member.loses_answers = true;
      after(duration, [&member] { member.loses_answers = false; });
      return;
    }
    default: {
      begin_fault("leaving: " + name);
      member.entry.leaving = true;
      ++m_active_faults;
      after(kLeavingTime, [this, index] {
        crash_member(index, false);
        restart_member(index);
        --m_active_faults;
      });
      return;
    }
  }
}

void SoakRun::inject_network_fault() {
  const std::size_t host = random_host();
  const std::string name = m_hosts[host]->name();
  MemberGateway& member_gateway = *m_network->host(host).member_gateways[random_below(m_members.size())];
  switch (random_below(6)) {
    case 0: {
      const Duration duration = begin_fault("isolate " + name);
      m_network->isolate(host, true);
      after(duration, [this, host] { m_network->isolate(host, false); });
      return;
    }
    case 1: {
      const bool to_member = random_below(2) == 0;
      const Duration duration = begin_fault(name + " and a member, blocked in one direction");
      member_gateway.set_blocked(to_member, !to_member);
      after(duration, [&member_gateway] { member_gateway.set_blocked(false, false); });
      return;
    }
    case 2: {
      const Duration duration = begin_fault(name + " and a member, slow");
      member_gateway.set_delay(std::chrono::milliseconds(10 + random_below(400)));
      after(duration, [&member_gateway] { member_gateway.set_delay(Duration(0)); });
      return;
    }
    case 3:
      begin_fault(name + " and a member, reset");
      member_gateway.reset_connections();
      return;
    case 4:
      begin_fault(name + ", open connections stop responding");
      for (const auto& gateway : m_network->host(host).member_gateways) {
        gateway->make_connections_unresponsive();
      }
      return;
    default: {
      const std::size_t other = (host + 1) % m_hosts.size();
      const Duration duration = begin_fault("reports from " + name + " to " + m_hosts[other]->name() + " are lost");
      ReportRelay& relay = *m_network->host(host).report_relays[other];
      relay.set_blocked(true);
      after(duration, [&relay] { relay.set_blocked(false); });
      return;
    }
  }
}

void SoakRun::inject_platform_fault() {
  switch (random_below(m_settings.restores_store ? 8 : 5)) {
    case 0:
    case 1: {
      const auto fault = static_cast<testing::PlatformFault>(1 + random_below(4));
      // The platform fails for all hosts or for one host.
      const std::size_t target_host = random_below(2) == 0 ? random_host() : m_hosts.size();
      const Duration duration =
          begin_fault("platform fails, fault " + std::to_string(static_cast<int>(fault)) + " for " +
                      (target_host == m_hosts.size() ? "all hosts" : m_hosts[target_host]->name()));
      const auto set = [this, target_host](testing::PlatformFault value) {
        for (std::size_t host = 0; host < m_hosts.size(); ++host) {
          if (target_host == m_hosts.size() || target_host == host) {
            m_network->host(host).platform->set_fault(value);
          }
        }
      };
      set(fault);
      after(duration, [set] { set(testing::PlatformFault::kNone); });
      return;
    }
    case 2:
      begin_fault("platform loses answers");
      for (std::size_t host = 0; host < m_hosts.size(); ++host) {
        m_network->host(host).platform->lose_answers(2);
      }
      return;
    case 3:
      begin_fault("platform drops its history and connections");
      m_network->store().drop_history();
      for (std::size_t host = 0; host < m_hosts.size(); ++host) {
        m_network->host(host).platform->reset_connections();
      }
      return;
    case 4:
      begin_fault("new configuration");
      m_network->publish_configuration();
      return;
    default: {
      const Duration age = std::chrono::milliseconds(random_below(kMaxCopyAgeMs));
      begin_fault("store restored from a copy " + std::to_string(to_milliseconds(age)) + " ms old");
      m_network->restore_store(age, std::chrono::milliseconds(random_below(kMaxRewriteDelayMs)));
      return;
    }
  }
}

}  // namespace teaselrudder::soak
