#pragma once

#include <uv.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "tests/soak/soak_caller.h"
#include "tests/soak/soak_network.h"

namespace teaselrudder::soak {

struct SoakSettings {
  std::uint64_t seed = 1;
  /// Faults that the run injects before it heals everything.
  std::size_t faults = 12;
  std::size_t hosts = 4;
  std::size_t callers = 24;
  /// Program of a host.
  std::string program;
  /// Existing folder for the hosts' settings and logs.
  std::string folder;
  /// Prints each fault.
  bool prints_faults = false;
};

/// One run of the soak: real hosts as processes, callers with open connections, and faults that follow from the seed
/// and overlap. When the last fault is over everything is healed, and each host has to serve a write again.
class SoakRun {
 public:
  /// Time after which a host that serves nothing after the faults counts as stuck. It only ends a run that hangs: the
  /// gap of a failover is measured elsewhere.
  static constexpr Duration kStuckAfter = std::chrono::seconds(60);

  explicit SoakRun(SoakSettings settings);
  SoakRun(const SoakRun&) = delete;
  SoakRun& operator=(const SoakRun&) = delete;
  ~SoakRun();

  /// Runs to the end and returns the broken promises.
  std::vector<std::string> run();

  /// Returns counts of the run in one line.
  std::string summary() const;

 private:
  enum class Stage { kStarting, kFaults, kHealing, kDone };
  struct CallerPlace {
    SoakCaller* caller = nullptr;
    std::size_t host = 0;
    TimePoint next_session;
    std::uint64_t opened = 0;
  };

  void on_tick();
  void advance();
  void tend_callers();
  void tend_hosts();
  bool all_hosts_serve() const;
  void heal();

  void inject_fault();
  void inject_host_fault();
  void inject_member_fault();
  void inject_network_fault();
  void inject_platform_fault();
  /// Notes a fault and returns how long it lasts.
  Duration begin_fault(const std::string& text);
  void after(Duration delay, std::function<void()> action) { m_events.at(m_events.now() + delay, std::move(action)); }
  void crash_member(std::size_t index, bool dark);
  void restart_member(std::size_t index);
  std::size_t below(std::size_t count) { return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random); }
  std::size_t any_host() { return below(m_settings.hosts); }

  SoakSettings m_settings;
  uv_loop_t m_loop{};
  uv_timer_t m_timer{};
  std::mt19937_64 m_random;
  model::EventQueue m_events;
  TimePoint m_started_at;
  std::uint64_t m_started_ns = 0;
  model::ReplicatedMembers m_members;
  model::GuaranteeChecker m_checker;
  std::unique_ptr<SoakNetwork> m_network;
  std::vector<std::unique_ptr<HostProcess>> m_hosts;
  std::vector<TimePoint> m_restart_at;
  std::vector<std::uint64_t> m_served_when_healed;
  std::vector<std::uint64_t> m_served;
  SoakCaller::Shared m_shared;
  std::vector<CallerPlace> m_callers;
  Stage m_stage = Stage::kStarting;
  TimePoint m_stage_since;
  TimePoint m_next_fault;
  std::size_t m_injected = 0;
  std::size_t m_open_faults = 0;
};

}  // namespace teaselrudder::soak
