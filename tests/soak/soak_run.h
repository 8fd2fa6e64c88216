#pragma once

#include <uv.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "tests/soak/soak_caller.h"
#include "tests/soak/soak_network.h"

namespace teaselrudder::soak {

struct SoakSettings {
  std::uint64_t seed = 1;
  /// Number of faults that the run injects before it ends all of them.
  std::size_t faults = 12;
  std::size_t hosts = 4;
  std::size_t callers = 24;
  /// A replaced primary stops at once, and promotions with outdated tokens are rejected.
  bool fenced = true;
  /// The platform's store may come back from an older copy.
  bool restores_store = false;
  /// Statements of callers contain texts that could be taken for several fields of a line.
  bool odd_texts = false;
  /// Hosts are also stopped or killed for good, until one is left.
  bool removes_hosts = false;
  /// Path of the executable that each host runs.
  std::string program;
  /// Existing folder for the settings and logs of the hosts.
  std::string folder;
  /// Prints each fault to the standard output.
  bool prints_faults = false;
};

/// One soak run: real host processes, callers with open connections, and overlapping faults that are derived from the
/// seed. After the last fault, all faults are removed, and each host has to serve a statement again.
class SoakRun {
 public:
  /// Time after the faults within which each host has to serve a statement. It only ends a run that hangs; the duration
  /// of a failover is measured by other programs.
  static constexpr Duration kRecoveryTimeout = std::chrono::seconds(60);

  explicit SoakRun(SoakSettings settings);
  SoakRun(const SoakRun&) = delete;
  SoakRun& operator=(const SoakRun&) = delete;
  ~SoakRun();

  /// Runs to the end and returns descriptions of the broken guarantees.
  std::vector<std::string> run();

  /// Returns the counters of the run in one line.
  std::string summary() const;

 private:
  enum class Stage { kStarting, kFaults, kRecovering, kDone };
  struct CallerSlot {
    SoakCaller* caller = nullptr;
    std::size_t host = 0;
    TimePoint next_session;
    std::uint64_t opened_sessions = 0;
  };

  void on_tick();
  void advance();
  void open_caller_sessions();
  void restart_ended_hosts();
  bool all_hosts_serve() const;
  void end_all_faults();

  void inject_fault();
  void inject_host_fault();
  /// Ends a host for good, with or without notice, unless it is the last one.
  void remove_host(std::size_t index);
  void inject_member_fault();
  void inject_network_fault();
  void inject_platform_fault();
  /// Counts a fault as active, prints it if wanted, and returns its duration.
  Duration begin_fault(const std::string& text);
  void after(Duration delay, std::function<void()> action) { m_events.at(m_events.now() + delay, std::move(action)); }
  void crash_member(std::size_t index, bool unresponsive);
  void restart_member(std::size_t index);
  std::size_t random_below(std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
  }
  std::size_t random_host() { return random_below(m_settings.hosts); }

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
  std::set<std::size_t> m_removed_hosts;
  std::vector<std::uint64_t> m_served_after_faults;
  std::vector<std::uint64_t> m_served_by_host;
  SoakCaller::Shared m_shared;
  std::vector<CallerSlot> m_callers;
  Stage m_stage = Stage::kStarting;
  TimePoint m_stage_since;
  TimePoint m_next_fault;
  std::size_t m_injected = 0;
  std::size_t m_active_faults = 0;
};

}  // namespace teaselrudder::soak
