#include "tests/soak/soak_run.h"

#include <algorithm>
#include <csignal>
#include <iostream>
#include <utility>

namespace teaselrudder::soak {

namespace {

constexpr std::uint64_t kTickMs = 1;
/// Time between two faults; each lasts up to three seconds, so they overlap.
constexpr std::size_t kMaxFaultGapMs = 900;
constexpr std::size_t kMaxFaultMs = 3000;
/// Pause before a host that ended is started again.
constexpr Duration kRestartPause = std::chrono::milliseconds(200);
/// Pause before a caller whose session ended opens the next one.
constexpr Duration kSessionPause = std::chrono::milliseconds(50);
/// Time between a member's entry and its first receipt of the log.
constexpr Duration kRegistrationTime = std::chrono::milliseconds(200);
constexpr Duration kMaxStaleness = std::chrono::milliseconds(1500);
/// Time in which a leaving member goes on serving.
constexpr Duration kLeavingTime = std::chrono::seconds(4);

}  // namespace

SoakRun::SoakRun(SoakSettings settings)
    : m_settings(std::move(settings)),
      m_random(m_settings.seed),
      m_started_at(m_events.now()),
      m_members(m_events, GroupId("ledger"), 3),
      m_checker(m_members, kMaxStaleness),
      m_restart_at(m_settings.hosts),
      m_served(m_settings.hosts),
      m_shared{m_checker, [this] { return m_events.now(); }, {}, 0},
      m_callers(m_settings.callers) {
  uv_loop_init(&m_loop);
  m_members.observe_runs([this](const RequestId& id, const model::StatementRun& run) { m_checker.on_run(id, run); });
  m_network = std::make_unique<SoakNetwork>(&m_loop, m_events, m_members, m_settings.hosts);
  uv_run(&m_loop, UV_RUN_NOWAIT);
  for (std::size_t index = 0; index < m_settings.hosts; ++index) {
    m_hosts.push_back(std::make_unique<HostProcess>(m_settings.program, m_settings.folder,
                                                    SoakNetwork::host_name(index), "domain" + std::to_string(index % 3),
                                                    m_network->host(index).ports));
    m_hosts.back()->write_settings();
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
  for (CallerPlace& place : m_callers) {
    if (place.caller != nullptr) {
      place.caller->close();
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
      &m_timer, [](uv_timer_t* timer) { static_cast<SoakRun*>(timer->data)->on_tick(); }, kTickMs, kTickMs);
  uv_run(&m_loop, UV_RUN_DEFAULT);
  return m_checker.violations();
}

std::string SoakRun::summary() const {
  return "seed=" + std::to_string(m_settings.seed) + " faults=" + std::to_string(m_injected) +
         " sessions=" + std::to_string(m_shared.totals.sessions) + " served=" + std::to_string(m_shared.totals.served) +
         " refused=" + std::to_string(m_shared.totals.refused) +
         " broken_off=" + std::to_string(m_shared.totals.broken_off) +
         " promotions=" + std::to_string(m_members.promotions());
}

void SoakRun::on_tick() {
  const TimePoint now =
      m_started_at + std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(uv_hrtime() - m_started_ns));
  m_events.run_for(now - m_events.now());
  m_network->on_tick();
  tend_hosts();
  tend_callers();
  advance();
}

void SoakRun::tend_hosts() {
  for (std::size_t index = 0; index < m_hosts.size(); ++index) {
    HostProcess& host = *m_hosts[index];
    const bool was_running = host.is_running();
    if (host.reap()) {
      m_checker.add_violation("FAULT: " + host.name() + " ended by itself");
    }
    if (was_running && !host.is_running()) {
      m_restart_at[index] = m_events.now() + kRestartPause;
    } else if (!host.is_running() && m_restart_at[index] <= m_events.now()) {
      host.start();
    }
  }
}

void SoakRun::tend_callers() {
  for (std::size_t index = 0; index < m_callers.size(); ++index) {
    CallerPlace& place = m_callers[index];
    if (place.caller != nullptr || m_events.now() < place.next_session) {
      continue;
    }
    // Some callers come back to their host, others go elsewhere.
    place.host = (place.host + place.opened % 2) % m_hosts.size();
    ++place.opened;
    const std::uint64_t seed = m_settings.seed * 1000003 + index * 1009 + place.opened;
    const std::uint16_t port = m_hosts[place.host]->ports().callers;
    place.caller = new SoakCaller(&m_loop, m_shared, seed, port, [this, index](std::uint64_t served) {
      CallerPlace& ended = m_callers[index];
      m_served[ended.host] += served;
      ended.caller = nullptr;
      ended.next_session = m_events.now() + kSessionPause;
    });
    if (place.caller->is_closed()) {
      place.caller = nullptr;
    }
  }
}

bool SoakRun::all_hosts_serve() const {
  std::vector<std::uint64_t> served = m_served;
  for (const CallerPlace& place : m_callers) {
    served[place.host] += place.caller != nullptr ? place.caller->served() : 0;
  }
  for (std::size_t index = 0; index < m_hosts.size(); ++index) {
    const std::uint64_t before = m_served_when_healed.empty() ? 0 : m_served_when_healed[index];
    if (served[index] <= before) {
      return false;
    }
  }
  return true;
}

void SoakRun::advance() {
  const bool stuck = m_events.now() >= m_stage_since + kStuckAfter;
  switch (m_stage) {
    case Stage::kStarting:
      if (all_hosts_serve() || stuck) {
        m_stage = Stage::kFaults;
        m_next_fault = m_events.now();
      }
      return;
    case Stage::kFaults:
      if (m_injected < m_settings.faults) {
        if (m_events.now() >= m_next_fault) {
          inject_fault();
        }
      } else if (m_open_faults == 0) {
        heal();
      }
      return;
    case Stage::kHealing:
      if (stuck) {
        m_checker.add_violation("RECOVER: a host serves nothing after the faults");
      }
      if (stuck || all_hosts_serve()) {
        m_stage = Stage::kDone;
        uv_stop(&m_loop);
      }
      return;
    case Stage::kDone:
      return;
  }
}

void SoakRun::heal() {
  for (std::size_t index = 0; index < m_members.size(); ++index) {
    m_members.member(index).receives_no_log = false;
    m_members.member(index).busy = false;
    m_members.member(index).loses_answers = false;
  }
  for (std::size_t host = 0; host < m_hosts.size(); ++host) {
    m_network->isolate(host, false);
  }
  m_stage = Stage::kHealing;
  m_stage_since = m_events.now();
  // What callers get from here on counts, not what was on its way.
  after(std::chrono::seconds(1), [this] {
    m_served_when_healed = m_served;
    for (const CallerPlace& place : m_callers) {
      m_served_when_healed[place.host] += place.caller != nullptr ? place.caller->served() : 0;
    }
  });
  m_served_when_healed.assign(m_hosts.size(), UINT64_MAX);
}

Duration SoakRun::begin_fault(const std::string& text) {
  const Duration lasts = std::chrono::milliseconds(200 + below(kMaxFaultMs - 200));
  if (m_settings.prints_faults) {
    std::cout << to_milliseconds(m_events.now() - m_started_at) << " ms " << text << " for " << to_milliseconds(lasts)
              << " ms" << std::endl;
  }
  ++m_open_faults;
  after(lasts, [this] { --m_open_faults; });
  return lasts;
}

void SoakRun::inject_fault() {
  ++m_injected;
  m_next_fault = m_events.now() + std::chrono::milliseconds(1 + below(kMaxFaultGapMs));
  switch (below(4)) {
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

void SoakRun::inject_host_fault() {
  const std::size_t index = any_host();
  const std::string name = m_hosts[index]->name();
  switch (below(5)) {
    case 0:
      begin_fault("kill " + name);
      m_hosts[index]->signal(SIGKILL);
      return;
    case 1:
      begin_fault("stop " + name);
      m_hosts[index]->signal(SIGTERM);
      return;
    case 2: {
      const Duration lasts = begin_fault("freeze " + name);
      m_hosts[index]->signal(SIGSTOP);
      after(lasts, [this, index] { m_hosts[index]->signal(SIGCONT); });
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

void SoakRun::crash_member(std::size_t index, bool dark) {
  if (!m_members.member(index).alive) {
    return;
  }
  for (std::size_t host = 0; host < m_hosts.size(); ++host) {
    m_network->host(host).members[index]->set_refusing(!dark);
  }
  m_members.crash(index, dark);
}

void SoakRun::restart_member(std::size_t index) {
  model::ReplicatedMembers::Member& member = m_members.member(index);
  if (member.alive) {
    return;
  }
  member.entry.leaving = false;
  ++member.entry.started_at_ms;
  m_network->announce_member(index);
  after(kRegistrationTime, [this, index] {
    for (std::size_t host = 0; host < m_hosts.size(); ++host) {
      m_network->host(host).members[index]->set_refusing(false);
      m_network->host(host).members[index]->reset_connections();
    }
    if (!m_members.member(index).alive) {
      m_members.restart(index);
    }
  });
}

void SoakRun::inject_member_fault() {
  // Half of these faults hit the primary.
  const std::size_t primary = m_members.primary();
  const std::size_t index = below(2) == 0 && primary < m_members.size() ? primary : below(m_members.size());
  model::ReplicatedMembers::Member& member = m_members.member(index);
  const std::string name = member.entry.member.value();
  switch (below(5)) {
    case 0:
    case 1: {
      const bool dark = below(2) == 0;
      const Duration lasts = begin_fault(std::string(dark ? "darken " : "crash ") + name);
      crash_member(index, dark);
      after(lasts, [this, index] { restart_member(index); });
      return;
    }
    case 2: {
      const Duration lasts = begin_fault("replica hears nothing: " + name);
      member.receives_no_log = true;
      after(lasts, [&member] { member.receives_no_log = false; });
      return;
    }
    case 3: {
      const Duration lasts = begin_fault("answers are lost: " + name);
      member.loses_answers = true;
      after(lasts, [&member] { member.loses_answers = false; });
      return;
    }
    default: {
      begin_fault("leaving: " + name);
      member.entry.leaving = true;
      ++m_open_faults;
      after(kLeavingTime, [this, index] {
        crash_member(index, false);
        restart_member(index);
        --m_open_faults;
      });
      return;
    }
  }
}

void SoakRun::inject_network_fault() {
  const std::size_t host = any_host();
  const std::string name = m_hosts[host]->name();
  MemberGateway& way = *m_network->host(host).members[below(m_members.size())];
  switch (below(6)) {
    case 0: {
      const Duration lasts = begin_fault("isolate " + name);
      m_network->isolate(host, true);
      after(lasts, [this, host] { m_network->isolate(host, false); });
      return;
    }
    case 1: {
      const bool to_member = below(2) == 0;
      const Duration lasts = begin_fault(name + " and a member, cut one way");
      way.cut(to_member, !to_member);
      after(lasts, [&way] { way.cut(false, false); });
      return;
    }
    case 2: {
      const Duration lasts = begin_fault(name + " and a member, slow");
      way.set_delay(std::chrono::milliseconds(10 + below(400)));
      after(lasts, [&way] { way.set_delay(Duration(0)); });
      return;
    }
    case 3:
      begin_fault(name + " and a member, reset");
      way.reset_connections();
      return;
    case 4:
      begin_fault(name + ", open connections fall silent");
      for (const auto& gateway : m_network->host(host).members) {
        gateway->silence_connections();
      }
      return;
    default: {
      const std::size_t other = (host + 1) % m_hosts.size();
      const Duration lasts = begin_fault("reports from " + name + " to " + m_hosts[other]->name() + " are lost");
      ReportRelay& reports = *m_network->host(host).reports[other];
      reports.set_cut(true);
      after(lasts, [&reports] { reports.set_cut(false); });
      return;
    }
  }
}

void SoakRun::inject_platform_fault() {
  switch (below(5)) {
    case 0:
    case 1: {
      const auto fault = static_cast<testing::PlatformFault>(1 + below(4));
      // The platform fails for every host, or for one.
      const std::size_t one = below(2) == 0 ? any_host() : m_hosts.size();
      const Duration lasts = begin_fault("platform fails, fault " + std::to_string(static_cast<int>(fault)) + " for " +
                                         (one == m_hosts.size() ? "all hosts" : m_hosts[one]->name()));
      const auto set = [this, one](testing::PlatformFault value) {
        for (std::size_t host = 0; host < m_hosts.size(); ++host) {
          if (one == m_hosts.size() || one == host) {
            m_network->host(host).platform->set_fault(value);
          }
        }
      };
      set(fault);
      after(lasts, [set] { set(testing::PlatformFault::kNone); });
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
    default:
      begin_fault("new configuration");
      m_network->publish_configuration();
      return;
  }
}

}  // namespace teaselrudder::soak
