#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/chart/compiled_charts.h"
#include "core/chart/state_chart.h"
#include "misc/measure/event_queue.h"
#include "misc/measure/member_model.h"
#include "servers/group/database_group.h"
#include "servers/group/read_router.h"

// Header-only, because both the measurement programs and the tests use it.
namespace teaselrudder::model {

/// Returns the embedded state chart of a group. Throws std::runtime_error if it does not match the code.
inline std::shared_ptr<const StateChart> load_group_chart() {
  auto chart =
      StateChart::load("database_group", compiled_chart("database_group"), group_state_names(), group_event_names());
  if (!chart.has_value()) {
    throw std::runtime_error(chart.error());
  }
  return std::make_shared<const StateChart>(std::move(*chart));
}

/// Returns a group of `count` members named m0, m1, ...
inline GroupConfiguration make_group(std::size_t count) {
  GroupConfiguration group{GroupId("g"), {}};
  for (std::size_t index = 0; index < count; ++index) {
    MemberConfiguration member;
    member.id = MemberId("m" + std::to_string(index));
    member.failure_domain = FailureDomainId("d" + std::to_string(index));
    group.members.push_back(member);
  }
  return group;
}

/// Observer of the events of a GroupHarness. Times are virtual.
class HarnessObserver {
 public:
  HarnessObserver() = default;
  HarnessObserver(const HarnessObserver&) = delete;
  HarnessObserver& operator=(const HarnessObserver&) = delete;
  virtual ~HarnessObserver() = default;

  virtual void on_promoted(std::size_t /*member*/, Term /*term*/, const std::vector<Record>& /*log*/) {}
  virtual void on_executed(std::uint64_t /*id*/, Term /*term*/) {}
  /// Called when a write is confirmed. `holders` is the number of members whose log contains it at this time.
  virtual void on_confirmed(std::uint64_t /*id*/, const LogPoint& /*point*/, std::size_t /*holders*/,
                            TimePoint /*now*/) {}
  /// Called when the result of a read is accepted. `session_ids` are the writes of the session that were confirmed when
  /// the read started, `visible` the writes that it saw.
  virtual void on_read(const ReadRequirement& /*requirement*/, const std::vector<std::uint64_t>& /*session_ids*/,
                       const std::vector<std::uint64_t>& /*visible*/, bool /*primary*/, TimePoint /*started*/,
                       TimePoint /*now*/) {}
};

/// Settings of GroupHarness.
struct HarnessOptions {
  std::size_t domains = 3;
  Duration latency = std::chrono::microseconds(1500);
  Duration connect_cost = std::chrono::milliseconds(10);
  /// Interval at which a member receives log records.
  Duration replication_interval = std::chrono::milliseconds(2);
  Duration write_deadline = std::chrono::seconds(10);
  std::uint64_t seed = 1;
  /// Probabilities that an answer on a control connection is lost, duplicated, or delayed by up to 2 s.
  double loss_rate = 0;
  double duplication_rate = 0;
  double delay_rate = 0;
};

/// Simulation of a database group in virtual time: a member and an owner in each failure domain, and network links that
/// can be blocked.
class GroupHarness {
 public:
  GroupHarness(const HarnessOptions& options, HarnessObserver& observer)
      : m_options(options), m_observer(observer), m_random(options.seed), m_chart(load_group_chart()) {
    m_nodes.resize(options.domains);
    for (std::size_t index = 0; index < options.domains; ++index) {
      start_owner(index);
      schedule_replication(index);
    }
  }

  TimePoint now() const { return m_events.now(); }
  DatabaseGroup& group(std::size_t owner) { return *m_nodes[owner].group; }
  MemberModel& member(std::size_t index) { return m_nodes[index].member; }
  std::size_t size() const { return m_nodes.size(); }

  /// Advances the clock by `duration` and runs all events that are due.
  void run_for(Duration duration) { m_events.run_for(duration); }

  /// Runs until `done` returns true, for at most `limit`. Returns whether it did.
  bool run_until(const std::function<bool()>& done, Duration limit) { return m_events.run_until(done, limit); }

  /// Starts owner `index`, or restarts it without its previous state.
  void start_owner(std::size_t index) {
    Node& node = m_nodes[index];
    node.group =
        std::make_unique<DatabaseGroup>(current_configuration(), owner_id(index), GroupTimings(), m_chart, now());
    node.confirmations.clear();
    ++node.incarnation;
    node.group->update_owners(index, m_nodes.size(), now());
    perform_actions(index);
  }

  void set_member_up(std::size_t index, bool up) { m_nodes[index].up = up; }

  /// Blocks or restores the link from failure domain `from` to `to`, in this direction only.
  void set_link_blocked(std::size_t from, std::size_t to, bool blocked) {
    if (blocked) {
      m_blocked_links.insert({from, to});
    } else {
      m_blocked_links.erase({from, to});
    }
  }

  /// Blocks or restores all links between failure domain `domain` and the others.
  void isolate(std::size_t domain, bool isolated) {
    for (std::size_t other = 0; other < m_nodes.size(); ++other) {
      if (other != domain) {
        set_link_blocked(domain, other, isolated);
        set_link_blocked(other, domain, isolated);
      }
    }
  }

  /// Pauses owner `index` for `duration`. Events that arrive in the meantime are delivered afterwards.
  void pause_owner(std::size_t index, Duration duration) {
    m_nodes[index].paused_until = std::max(m_nodes[index].paused_until, now() + duration);
  }

  /// Makes the control connection from `owner` to `member` unresponsive until the owner opens a new one.
  void make_connection_unresponsive(std::size_t owner, std::size_t member) {
    m_unresponsive_links.insert({owner, member});
  }

  void set_replication_delay(std::size_t index, Duration delay) { m_nodes[index].replication_delay = delay; }

  /// Stops losing, duplicating and delaying answers on control connections.
  void make_reliable() { m_options.loss_rate = m_options.duplication_rate = m_options.delay_rate = 0; }

  /// Drops the answer to the next Promote request, which takes effect.
  void lose_next_promote_answer() { m_lose_promote_answer = true; }

  void update_configuration(const GroupConfiguration& configuration) {
    m_group = configuration;
    for (std::size_t index = 0; index < m_nodes.size(); ++index) {
      group(index).update_configuration(configuration, now());
      perform_actions(index);
    }
  }

  /// Sends a write of `session` through `owner`. Does nothing if the owner knows no primary or is paused.
  void write(std::size_t owner, std::size_t session) {
    const std::optional<PrimaryView> primary = group(owner).primary();
    if (!primary.has_value() || is_paused(owner)) {
      return;
    }
    const std::size_t target = member_index(primary->member);
    const std::uint64_t id = m_next_record++;
    const TimePoint sent_at = now();
    send_to_member(owner, target, Duration(0), [=, this] {
      const std::optional<LogPoint> point = member(target).write(primary->term, id);
      if (!point.has_value()) {
        return;
      }
      m_observer.on_executed(id, point->term);
      const MemberStatus after = member(target).status();
      send_to_owner(target, owner, [=, this] {
        group(owner).on_operation_report(primary->member, after, sent_at, now());
        confirm(owner, *point, [=, this] {
          Session& state = m_sessions[session];
          state.point = std::max(state.point, *point);
          state.ids.push_back(id);
          m_observer.on_confirmed(id, *point, count_holders(id), now());
        });
      });
    });
  }

  /// Sends a read of `session` through `owner`. Does nothing if the owner finds no suitable member or is paused.
  void read(std::size_t owner, std::size_t session, Freshness freshness, Duration max_age) {
    const ReadRequirement requirement{{m_sessions[session].point, false}, freshness, max_age};
    const auto choice = choose_reader(group(owner), requirement, {}, {}, false, now());
    if (!choice.has_value() || is_paused(owner)) {
      return;
    }
    const std::size_t target = member_index(choice->member);
    const std::vector<std::uint64_t> session_ids = m_sessions[session].ids;
    const TimePoint started = now();
    const bool primary = choice->primary;
    send_to_member(owner, target, Duration(0), [=, this] {
      const MemberStatus before = member(target).status();
      const std::vector<std::uint64_t> visible = member(target).visible();
      send_to_owner(target, owner, [=, this] {
        group(owner).on_operation_report(MemberId("m" + std::to_string(target)), before, started, now());
        perform_actions(owner);
        if (!read_is_acceptable(group(owner), requirement, before, now())) {
          return;
        }
        const auto accept = [=, this] {
          m_observer.on_read(requirement, session_ids, visible, primary, started, now());
        };
        if (freshness == Freshness::kFresh) {
          confirm(owner, {before.raised_term, before.received}, accept);
        } else {
          accept();
        }
      });
    });
  }

 private:
  struct Node {
    MemberModel member;
    bool up = true;
    Duration replication_delay{0};
    std::unique_ptr<DatabaseGroup> group;
    std::uint64_t incarnation = 0;
    TimePoint paused_until;
    std::uint64_t tick = 0;
    std::map<ConfirmationId, std::function<void()>> confirmations;
  };

  struct Session {
    LogPoint point;
    std::vector<std::uint64_t> ids;
  };

  static HostId owner_id(std::size_t index) { return HostId("h" + std::to_string(index)); }
  static std::size_t member_index(const MemberId& member) { return std::stoul(member.value().substr(1)); }

  GroupConfiguration current_configuration() const {
    return m_group.members.empty() ? make_group(m_nodes.size()) : m_group;
  }

  std::size_t count_holders(std::uint64_t id) const {
    return static_cast<std::size_t>(std::count_if(m_nodes.begin(), m_nodes.end(), [id](const Node& node) {
      const std::vector<Record>& log = node.member.log();
      // Searches backwards, since confirmed writes are among the newest records.
      return std::any_of(log.rbegin(), log.rend(), [id](const Record& record) { return record.id == id; });
    }));
  }

  bool is_link_blocked(std::size_t from, std::size_t to) const { return m_blocked_links.contains({from, to}); }
  bool is_paused(std::size_t owner) const { return now() < m_nodes[owner].paused_until; }
  double random() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

  Duration link_delay(std::size_t from, std::size_t to) {
    const Duration base = from == to ? std::chrono::microseconds(100) : m_options.latency;
    return base + Duration(static_cast<Duration::rep>(random() * 200));
  }

  void at(TimePoint time, std::function<void()> event) { m_events.at(time, std::move(event)); }

  // Delivers an event to an owner, at the end of a pause if it is paused. Drops the event if the owner was restarted.
  void deliver(std::size_t owner, std::uint64_t incarnation, const std::function<void()>& event) {
    if (m_nodes[owner].incarnation != incarnation) {
      return;
    }
    if (is_paused(owner)) {
      at(m_nodes[owner].paused_until, [=, this] { deliver(owner, incarnation, event); });
      return;
    }
    event();
    perform_actions(owner);
  }

  void send_to_member(std::size_t owner, std::size_t target, Duration extra, const std::function<void()>& event) {
    if (is_link_blocked(owner, target)) {
      return;
    }
    at(now() + extra + link_delay(owner, target), [=, this] {
      if (m_nodes[target].up && !is_link_blocked(owner, target)) {
        event();
      }
    });
  }

  void send_to_owner(std::size_t member, std::size_t owner, const std::function<void()>& event) {
    if (is_link_blocked(member, owner)) {
      return;
    }
    const std::uint64_t incarnation = m_nodes[owner].incarnation;
    at(now() + link_delay(member, owner), [=, this] { deliver(owner, incarnation, event); });
  }

  // Sends an answer on a control connection, which may be lost, duplicated or delayed.
  void send_answer(std::size_t member, std::size_t owner, const std::function<void()>& event) {
    if (random() < m_options.loss_rate) {
      return;
    }
    if (random() < m_options.duplication_rate) {
      send_to_owner(member, owner, event);
    }
    const Duration delay(random() < m_options.delay_rate ? static_cast<Duration::rep>(random() * 2'000'000) : 0);
    at(now() + delay, [=, this] { send_to_owner(member, owner, event); });
  }

  void confirm(std::size_t owner, const LogPoint& point, const std::function<void()>& confirmed) {
    const ConfirmationId id = group(owner).confirm(point, now() + m_options.write_deadline, now());
    m_nodes[owner].confirmations[id] = confirmed;
  }

  void perform_actions(std::size_t owner) {
    for (const GroupAction& action : group(owner).take_actions()) {
      std::visit([&](const auto& details) { perform(owner, details); }, action);
    }
    schedule_tick(owner);
  }

  void schedule_tick(std::size_t owner) {
    const std::uint64_t tick = ++m_nodes[owner].tick;
    const std::uint64_t incarnation = m_nodes[owner].incarnation;
    at(std::max(now(), group(owner).next_wakeup()), [=, this] {
      if (m_nodes[owner].tick == tick) {
        deliver(owner, incarnation, [=, this] { group(owner).on_tick(random(), now()); });
      }
    });
  }

  void perform(std::size_t owner, const SendProbe& action) {
    const std::size_t target = member_index(action.member);
    if (action.new_connection) {
      m_unresponsive_links.erase({owner, target});
    }
    if (m_unresponsive_links.contains({owner, target}) || is_link_blocked(owner, target)) {
      return;
    }
    if (!m_nodes[target].up) {
      // The machine is reachable and refuses the connection.
      send_to_owner(target, owner, [=, this] { group(owner).on_probe_failed(action.member, action.probe, now()); });
      return;
    }
    const Duration connect = action.new_connection ? m_options.connect_cost : Duration(0);
    send_to_member(owner, target, connect, [=, this] {
      const MemberStatus status = member(target).status();
      send_answer(target, owner,
                  [=, this] { group(owner).on_probe_report(action.member, action.probe, status, now()); });
    });
  }

  void perform(std::size_t owner, const SendRaiseTerm& action) {
    const std::size_t target = member_index(action.member);
    send_to_member(owner, target, Duration(0), [=, this] {
      const GrantResult result = member(target).raise_term(action.term, owner_id(owner));
      send_answer(target, owner,
                  [=, this] { group(owner).on_raise_result(action.member, action.term, result, now()); });
    });
  }

  void perform(std::size_t owner, const SendPromote& action) {
    const std::size_t target = member_index(action.member);
    send_to_member(owner, target, Duration(0), [=, this] {
      const bool was_primary = member(target).is_primary();
      const GrantResult result = member(target).promote(action.term, owner_id(owner));
      if (result.granted && !was_primary) {
        m_observer.on_promoted(target, action.term, member(target).log());
      }
      if (std::exchange(m_lose_promote_answer, false)) {
        return;
      }
      send_answer(target, owner,
                  [=, this] { group(owner).on_promote_result(action.member, action.term, result, now()); });
    });
  }

  void perform(std::size_t owner, const SendFollow& action) {
    const std::size_t target = member_index(action.member);
    send_to_member(owner, target, Duration(0), [=, this] {
      const GrantResult result = member(target).follow(action.term, member_index(action.primary));
      send_answer(target, owner,
                  [=, this] { group(owner).on_follow_result(action.member, action.term, result, now()); });
    });
  }

  void perform(std::size_t owner, const AskSuspicion& action) {
    at(now() + m_options.latency, [=, this] {
      std::size_t answered = 0;
      std::size_t suspecting = 0;
      Term highest;
      for (std::size_t other = 0; other < m_nodes.size(); ++other) {
        if (other == owner || is_link_blocked(owner, other) || is_link_blocked(other, owner) || is_paused(other)) {
          continue;
        }
        ++answered;
        suspecting += group(other).suspects(action.member, action.term, now()) ? 1 : 0;
        highest = std::max(highest, group(other).highest_known_term());
      }
      // Unanswered calls delay the result until their timeout of 150 ms.
      const bool all = answered + 1 == m_nodes.size();
      const Duration wait = all ? m_options.latency : Duration(std::chrono::milliseconds(150));
      const std::uint64_t incarnation = m_nodes[owner].incarnation;
      at(now() + wait, [=, this] {
        deliver(owner, incarnation,
                [=, this] { group(owner).on_suspicion_replies(action.term, answered, suspecting, highest, now()); });
      });
    });
  }

  void perform(std::size_t owner, const ConfirmationDone& action) {
    const auto found = m_nodes[owner].confirmations.extract(action.confirmation);
    if (!found.empty() && action.confirmed) {
      found.mapped()();
    }
  }

  void perform(std::size_t /*owner*/, const PrimaryChanged& /*action*/) {}

  // Sends the replica the log records that it lacks, once every replication interval.
  void schedule_replication(std::size_t index) {
    at(now() + m_options.replication_interval, [=, this] { schedule_replication(index); });
    const std::optional<std::size_t> source = member(index).source();
    const bool connected =
        source.has_value() && m_nodes[index].up && m_nodes[*source].up && !is_link_blocked(*source, index);
    const std::optional<LogSegment> segment = connected ? member(*source).segment_for(member(index)) : std::nullopt;
    if (!segment.has_value()) {
      return;
    }
    at(now() + link_delay(*source, index) + m_nodes[index].replication_delay, [=, this] {
      if (m_nodes[index].up && !is_link_blocked(*source, index)) {
        member(index).receive(*segment);
      }
    });
  }

  HarnessOptions m_options;
  HarnessObserver& m_observer;
  std::mt19937_64 m_random;
  std::shared_ptr<const StateChart> m_chart;
  GroupConfiguration m_group;
  std::vector<Node> m_nodes;
  EventQueue m_events;
  std::set<std::pair<std::size_t, std::size_t>> m_blocked_links;
  std::set<std::pair<std::size_t, std::size_t>> m_unresponsive_links;
  std::map<std::size_t, Session> m_sessions;
  std::uint64_t m_next_record = 1;
  bool m_lose_promote_answer = false;
};

}  // namespace teaselrudder::model
