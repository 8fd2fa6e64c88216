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
#include <vector>

#include "core/config/configuration_json.h"
#include "core/overloaded.h"
#include "misc/measure/event_queue.h"
#include "misc/measure/member_model.h"
#include "misc/measure/member_statements.h"
#include "misc/measure/store_model.h"
#include "servers/host/entry_host.h"

// Header-only, because both the measurement programs and the tests use it.
namespace teaselrudder::model {

/// Settings of HostWorld.
struct WorldOptions {
  std::size_t domains = 3;
  /// Number of members of the group; member i is in failure domain i.
  std::size_t members = 3;
  std::size_t hosts_per_domain = 2;
  Duration latency = std::chrono::microseconds(1500);
  Duration local_latency = std::chrono::microseconds(100);
  Duration connect_cost = std::chrono::milliseconds(10);
  Duration service_time = std::chrono::milliseconds(1);
  Duration replication_interval = std::chrono::milliseconds(2);
  std::uint32_t slots = 3;
  std::uint32_t connections = 20;
  std::uint64_t seed = 1;
  /// Whether hosts start with the configuration; otherwise they get it from the store or from peers.
  bool configure_hosts = true;
};

/// Answer to a caller's request, or its refusal.
using CallerOutcome = tl::expected<CallerAnswer, CallerRefusal>;

/// Simulation in virtual time: entry hosts in several failure domains, and one database group with members in the first
/// of these domains.
class HostWorld {
 public:
  explicit HostWorld(const WorldOptions& options) : m_options(options), m_random(options.seed) {
    m_configuration = make_configuration();
    m_store.put(configuration_to_json(m_configuration));
    m_store.on_change = [this](const StoreValue& value) { report_change(value); };
    m_members.resize(options.members);
    for (std::size_t index = 0; index < options.members; ++index) {
      schedule_replication(index);
    }
    for (std::size_t index = 0; index < options.domains * options.hosts_per_domain; ++index) {
      m_nodes.push_back(std::make_unique<Node>(*this, index));
      start_host(index);
    }
  }

  TimePoint now() const { return m_events.now(); }
  std::size_t hosts() const { return m_nodes.size(); }
  EntryHost& host(std::size_t index) { return *m_nodes[index]->host; }
  const Counters& counters(std::size_t index) const { return m_nodes[index]->counters; }
  MemberStatements& statements() { return m_statements; }
  MemberModel& member(std::size_t index) { return m_members[index].model; }
  Configuration& configuration() { return m_configuration; }
  StoreModel& store() { return m_store; }

  /// Sends an operator's command to a host. Returns its number for operator_answer().
  std::size_t command(std::size_t host_index, std::string text, bool check_only = false) {
    const std::size_t number = m_operator_answers.size();
    m_operator_answers.emplace_back();
    deliver(host_index, m_nodes[host_index]->incarnation,
            [this, host_index, number, text = std::move(text), check_only] {
              m_nodes[host_index]->host->on_operator_command(OperatorRequestId(number + 1), text, check_only, now());
            });
    return number;
  }

  /// Returns the answer to a command, or nothing if there is none yet.
  const std::optional<OperatorAnswer>& operator_answer(std::size_t number) const { return m_operator_answers[number]; }

  /// Returns whether a host is running.
  bool alive(std::size_t index) const { return m_nodes[index]->alive; }

  /// Returns the number of open watches of all hosts on the store.
  std::size_t open_watches() const { return m_watches.size(); }

  /// Fails all open watches on the store.
  void fail_watches() {
    const auto watches = std::exchange(m_watches, {});
    for (const auto& [key, incarnation] : watches) {
      deliver(key.first, incarnation,
              [this, key = key] { m_nodes[key.first]->host->on_watch_failed(key.second, StoreError{}, now()); });
    }
  }

  /// Advances the clock by `duration` and runs all events that are due.
  void run_for(Duration duration) { m_events.run_for(duration); }

  /// Runs until `done` returns true, for at most `limit`. Returns whether it did.
  bool run_until(const std::function<bool()>& done, Duration limit) { return m_events.run_until(done, limit); }

  /// Runs until a write through host 0 succeeds. Throws std::runtime_error after 20 attempts.
  void wait_until_ready() {
    for (int attempt = 0; attempt < 20; ++attempt) {
      const std::size_t write = submit(0, write_request("ready", "x"));
      run_until([&] { return outcome(write).has_value(); }, std::chrono::seconds(11));
      if (outcome(write).has_value() && outcome(write)->has_value()) {
        return;
      }
    }
    throw std::runtime_error("no write through host 0 succeeded in 20 attempts");
  }

  static Request write_request(const std::string& key, const std::string& value) {
    Request request;
    request.service = ServiceName("s");
    request.statements = {{"append", {key, value}}};
    return request;
  }

  static Request read_request(const std::string& key, Freshness freshness) {
    Request request;
    request.service = ServiceName("s");
    request.statements = {{"read", {key}}};
    request.freshness = freshness;
    request.read_only = true;
    return request;
  }

  /// Sends a caller's request to a host. Returns its number for outcome().
  std::size_t submit(std::size_t host_index, Request request) {
    const std::size_t number = m_outcomes.size();
    m_outcomes.emplace_back();
    Node& node = *m_nodes[host_index];
    deliver(host_index, node.incarnation, [this, &node, number, request = std::move(request)] {
      node.host->on_caller_request(CallerRequestId(number + 1), request, now());
    });
    return number;
  }

  /// Returns the outcome of a request, or nothing if there is none yet.
  const std::optional<CallerOutcome>& outcome(std::size_t number) const { return m_outcomes[number]; }

  /// Kills a host. Its connections are closed.
  void kill_host(std::size_t index) {
    Node& node = *m_nodes[index];
    ++node.incarnation;
    node.alive = false;
    node.host.reset();
    fail_calls_to(index);
  }

  /// Starts a host, or restarts it without its previous state.
  void start_host(std::size_t index) {
    Node& node = *m_nodes[index];
    ++node.incarnation;
    node.alive = true;
    HostSettings settings;
    settings.self = record_of(index);
    settings.self.incarnation = Incarnation(node.incarnation);
    settings.token_key = "key";
    settings.random_seed = m_random();
    settings.stop_announcement = std::chrono::milliseconds(200);
    node.host = std::make_unique<EntryHost>(settings, HostPorts{node, node, node, node, node, node, node},
                                            load_host_charts(CompiledChartSource()).value(), node.counters, now());
    for (std::size_t other = 0; other < m_options.domains * m_options.hosts_per_domain; ++other) {
      if (other != index) {
        node.host->add_known_host(record_of(other), now());
      }
    }
    if (m_options.configure_hosts) {
      node.host->adopt_configuration(m_configuration, "test", now());
    }
    schedule_tick(index);
  }

  /// Pauses the process of a host for `duration`. Events that arrive in the meantime are delivered afterwards.
  void pause_host(std::size_t index, Duration duration) {
    m_nodes[index]->paused_until = std::max(m_nodes[index]->paused_until, now() + duration);
  }

  /// Stops or starts a member. It keeps its log.
  void set_member_up(std::size_t index, bool up) {
    m_members[index].up = up;
    if (!up) {
      close_connections_to(index);
    }
  }

  /// Makes all current connections to a member permanently unresponsive; new connections work.
  void make_connections_unresponsive(std::size_t index) {
    for (auto& [id, connection] : m_connections) {
      connection.unresponsive = connection.unresponsive || connection.member == index;
    }
  }

  void set_replication_delay(std::size_t index, Duration delay) { m_members[index].replication_delay = delay; }
  void set_service_time(Duration time) { m_options.service_time = time; }

  /// Blocks or restores all links between a failure domain and the others.
  void isolate(std::size_t domain, bool isolated) {
    for (std::size_t other = 0; other < m_options.domains; ++other) {
      if (other != domain && isolated) {
        m_blocked_links.insert({domain, other});
        m_blocked_links.insert({other, domain});
      } else if (other != domain) {
        m_blocked_links.erase({domain, other});
        m_blocked_links.erase({other, domain});
      }
    }
  }

  /// Returns the running member that is primary in the highest term, if there is one.
  std::optional<std::size_t> primary() const {
    std::optional<std::size_t> found;
    for (std::size_t index = 0; index < m_members.size(); ++index) {
      const bool leads = m_members[index].up && m_members[index].model.is_primary();
      const bool newer =
          !found.has_value() || m_members[index].model.raised_term() > m_members[*found].model.raised_term();
      if (leads && newer) {
        found = index;
      }
    }
    return found;
  }

  /// Returns the value of `key` from the log of a member, including records that are not replayed yet.
  std::string stored(std::size_t member_index, const std::string& key) const {
    return m_statements.stored(m_members[member_index].model, key);
  }

 private:
  struct Member {
    MemberModel model;
    bool up = true;
    Duration replication_delay{0};
  };

  struct Connection {
    std::size_t host = 0;
    std::uint64_t incarnation = 0;
    std::size_t member = 0;
    bool open = false;
    bool unresponsive = false;
    OpenWrites transaction;
  };

  /// A host with the ports through which it reaches its simulated environment.
  struct Node : CallerPort, UpstreamPort, PeerPort, StorePort, HostListPort, OperatorPort, EventLogPort {
    Node(HostWorld& owner, std::size_t host_index) : world(owner), index(host_index) {}

    void answer(CallerRequestId request, CallerOutcome outcome) override {
      world.m_outcomes[request.value() - 1] = std::move(outcome);
    }
    void open_connection(ConnectionId connection, const Endpoint& upstream) override {
      world.open_connection(index, connection, upstream);
    }
    void execute(ConnectionId connection, OperationId operation, UpstreamOperation details) override {
      world.execute(index, connection, operation, std::move(details));
    }
    void close_connection(ConnectionId connection) override { world.m_connections.erase({index, connection}); }
    void call(PeerCallId call, const Endpoint& peer, PeerRequest request, Duration timeout) override {
      world.call_peer(index, call, peer, std::move(request), timeout);
    }
    void answer(PeerCallId call, PeerResponse response) override {
      world.answer_peer(index, call, std::move(response));
    }
    void get(StoreCallId call, const std::string& /*key*/) override { world.read_store(index, call); }
    void compare_and_swap(StoreCallId call, const std::string& /*key*/, StoreRevision expected,
                          const std::string& value) override {
      world.swap_store(index, call, expected, value);
    }
    void watch(WatchId watch, const std::string& /*key*/, StoreRevision /*from*/) override {
      world.m_watches[{index, watch}] = incarnation;
    }
    void cancel_watch(WatchId watch) override { world.m_watches.erase({index, watch}); }
    void fetch_host_list() override {}
    void answer(OperatorRequestId request, OperatorAnswer answer) override {
      std::optional<OperatorAnswer>& slot = world.m_operator_answers.at(request.value() - 1);
      if (slot.has_value()) {
        throw std::runtime_error("an operator command got a second answer");
      }
      slot = std::move(answer);
    }
    void log_state_change(std::string_view /*event*/, const LogFields& /*fields*/) override {}

    HostWorld& world;
    std::size_t index;
    Counters counters;
    std::unique_ptr<EntryHost> host;
    bool alive = false;
    std::uint64_t incarnation = 0;
    std::uint64_t tick = 0;
    TimePoint last_tick;
    int ticks_at_same_time = 0;
    TimePoint paused_until;
  };

  using ConnectionKey = std::pair<std::size_t, ConnectionId>;

  /// A peer call that waits for the answer of the called host.
  struct PeerCall {
    std::size_t target = 0;
    std::size_t caller = 0;
    std::uint64_t incarnation = 0;
    PeerCallId id;
  };

  std::size_t domain_of_host(std::size_t host_index) const { return host_index / m_options.hosts_per_domain; }
  bool is_link_blocked(std::size_t from, std::size_t to) const { return m_blocked_links.contains({from, to}); }

  Duration link_delay(std::size_t from, std::size_t to) {
    const Duration base = from == to ? m_options.local_latency : m_options.latency;
    return base + Duration(static_cast<Duration::rep>(m_random() % 100));
  }

  HostRecord record_of(std::size_t index) const {
    HostRecord record;
    record.host = HostId("h" + std::to_string(index));
    record.failure_domain = FailureDomainId("d" + std::to_string(domain_of_host(index)));
    record.peer_endpoint = {"127.0.0.1", static_cast<std::uint16_t>(1000 + index)};
    return record;
  }

  Configuration make_configuration() const {
    Configuration configuration;
    configuration.version = ConfigurationVersion(1);
    GroupConfiguration group{GroupId("g"), {}};
    for (std::size_t index = 0; index < m_options.members; ++index) {
      MemberConfiguration member;
      member.id = MemberId("m" + std::to_string(index));
      member.endpoint = {"127.0.0.1", static_cast<std::uint16_t>(2000 + index)};
      member.failure_domain = FailureDomainId("d" + std::to_string(index));
      member.slots = m_options.slots;
      member.connections = m_options.connections;
      group.members.push_back(member);
    }
    configuration.groups.emplace(group.id, group);
    ServiceConfiguration service;
    service.name = ServiceName("s");
    service.group = group.id;
    configuration.services.emplace(service.name, service);
    return configuration;
  }

  void at(TimePoint time, std::function<void()> event) { m_events.at(time, std::move(event)); }

  // Delivers an event to a host, at the end of a pause if it is paused. Drops the event if the host has ended or
  // restarted.
  void deliver(std::size_t index, std::uint64_t incarnation, const std::function<void()>& event) {
    Node& node = *m_nodes[index];
    if (node.incarnation != incarnation || !node.alive) {
      return;
    }
    if (now() < node.paused_until) {
      at(node.paused_until, [=, this] { deliver(index, incarnation, event); });
      return;
    }
    event();
    schedule_tick(index);
  }

  void schedule_tick(std::size_t index) {
    Node& node = *m_nodes[index];
    const std::uint64_t tick = ++node.tick;
    const std::uint64_t incarnation = node.incarnation;
    at(std::max(now(), node.host->next_wakeup()), [=, this] {
      if (m_nodes[index]->tick == tick) {
        check_progress(index);
        deliver(index, incarnation, [=, this] { m_nodes[index]->host->on_tick(now()); });
      }
    });
  }

  // Fails if the next wake-up of a host is always due, since a real process would then use a full processor core.
  void check_progress(std::size_t index) {
    constexpr int kMaxTicksAtOnce = 1000;
    Node& node = *m_nodes[index];
    node.ticks_at_same_time = node.last_tick == now() ? node.ticks_at_same_time + 1 : 0;
    node.last_tick = now();
    if (node.ticks_at_same_time > kMaxTicksAtOnce) {
      throw std::runtime_error("host " + std::to_string(index) + " got too many ticks at the same virtual time");
    }
  }

  void close_connections_to(std::size_t member_index) {
    for (auto entry = m_connections.begin(); entry != m_connections.end();) {
      if (entry->second.member != member_index) {
        ++entry;
        continue;
      }
      const auto [host_index, id] = entry->first;
      const std::uint64_t incarnation = entry->second.incarnation;
      const bool notify = entry->second.open && !is_link_blocked(member_index, domain_of_host(host_index));
      entry = m_connections.erase(entry);
      if (notify) {
        at(now() + link_delay(member_index, domain_of_host(host_index)), [=, this, host_index = host_index, id = id] {
          deliver(host_index, incarnation, [=, this] { m_nodes[host_index]->host->on_upstream_closed(id, now()); });
        });
      }
    }
  }

  void open_connection(std::size_t host_index, ConnectionId id, const Endpoint& upstream) {
    const std::size_t member_index = upstream.port - 2000U;
    const std::size_t domain = domain_of_host(host_index);
    const std::uint64_t incarnation = m_nodes[host_index]->incarnation;
    m_connections[{host_index, id}] = Connection{host_index, incarnation, member_index, false, false, OpenWrites()};
    if (is_link_blocked(domain, member_index)) {
      return;
    }
    at(now() + m_options.connect_cost + link_delay(domain, member_index), [=, this] {
      const auto found = m_connections.find({host_index, id});
      if (found == m_connections.end() || is_link_blocked(domain, member_index)) {
        return;
      }
      const auto open =
          static_cast<std::size_t>(std::count_if(m_connections.begin(), m_connections.end(), [&](const auto& entry) {
            return entry.second.member == member_index && entry.second.open;
          }));
      tl::expected<void, UpstreamError> result;
      if (!m_members[member_index].up || open >= m_options.connections) {
        UpstreamError error;
        error.kind =
            m_members[member_index].up ? UpstreamErrorKind::kTooManyConnections : UpstreamErrorKind::kConnectFailed;
        error.may_have_run = false;
        result = tl::unexpected(error);
        m_connections.erase(found);
      } else {
        found->second.open = true;
      }
      deliver(host_index, incarnation, [=, this] { m_nodes[host_index]->host->on_upstream_opened(id, result, now()); });
    });
  }

  void execute(std::size_t host_index, ConnectionId id, OperationId operation, UpstreamOperation details) {
    const auto found = m_connections.find({host_index, id});
    if (found == m_connections.end() || found->second.unresponsive) {
      return;
    }
    const std::size_t member_index = found->second.member;
    const std::size_t domain = domain_of_host(host_index);
    const std::uint64_t incarnation = found->second.incarnation;
    if (is_link_blocked(domain, member_index)) {
      return;
    }
    const bool is_statement =
        std::holds_alternative<RunStatements>(details) || std::holds_alternative<RunInTransaction>(details);
    const Duration service = is_statement ? m_options.service_time : Duration(50);
    at(now() + link_delay(domain, member_index) + service, [=, this, details = std::move(details)] {
      if (!m_members[member_index].up || is_link_blocked(domain, member_index)) {
        return;
      }
      // The member executes the operation even if the host has closed the connection.
      Connection closed_connection;
      const auto connection = m_connections.find({host_index, id});
      Connection& state = connection == m_connections.end() ? closed_connection : connection->second;
      const tl::expected<UpstreamResult, UpstreamError> result =
          m_statements.execute(m_members[member_index].model, state.transaction, details);
      if (is_link_blocked(member_index, domain) || state.unresponsive) {
        return;
      }
      at(now() + link_delay(member_index, domain), [=, this] {
        if (!m_connections.contains({host_index, id})) {
          return;
        }
        deliver(host_index, incarnation, [=, this] {
          if (m_connections.contains({host_index, id})) {
            m_nodes[host_index]->host->on_upstream_completed(id, operation, result, now());
          }
        });
      });
    });
  }

  void read_store(std::size_t index, StoreCallId call) {
    const std::uint64_t incarnation = m_nodes[index]->incarnation;
    at(now() + m_store.delay, [=, this] {
      const auto outcome = m_store.read(m_random);
      at(now() + m_store.delay, [=, this] {
        deliver(index, incarnation, [=, this] { m_nodes[index]->host->on_store_read(call, outcome, now()); });
      });
    });
  }

  void swap_store(std::size_t index, StoreCallId call, StoreRevision expected, const std::string& value) {
    const std::uint64_t incarnation = m_nodes[index]->incarnation;
    at(now() + m_store.delay, [=, this] {
      const auto outcome = m_store.swap(expected, value, m_random);
      at(now() + m_store.delay, [=, this] {
        deliver(index, incarnation, [=, this] { m_nodes[index]->host->on_store_swapped(call, outcome, now()); });
      });
    });
  }

  void report_change(const StoreValue& value) {
    for (const auto& [key, incarnation] : m_watches) {
      at(now() + m_store.delay, [=, this, key = key, incarnation = incarnation] {
        if (m_watches.contains(key)) {
          deliver(key.first, incarnation,
                  [=, this] { m_nodes[key.first]->host->on_store_changed(key.second, value, now()); });
        }
      });
    }
  }

  void call_peer(std::size_t caller, PeerCallId id, const Endpoint& peer, PeerRequest request, Duration timeout) {
    const std::size_t target = peer.port - 1000U;
    const std::uint64_t incarnation = m_nodes[caller]->incarnation;
    const std::size_t from = domain_of_host(caller);
    const std::size_t to = domain_of_host(target);
    at(now() + timeout, [=, this] {
      finish_call(caller, incarnation, id, tl::unexpected(PeerError{PeerErrorKind::kTimeout, true, ""}));
    });
    if (is_link_blocked(from, to)) {
      return;
    }
    m_pending_calls.insert({caller, id});
    at(now() + link_delay(from, to), [=, this, request = std::move(request)] {
      if (is_link_blocked(from, to)) {
        return;
      }
      if (!m_nodes[target]->alive) {
        finish_call(caller, incarnation, id, tl::unexpected(PeerError{PeerErrorKind::kUnreachable, false, ""}));
        return;
      }
      const PeerCallId incoming(++m_last_incoming_call);
      m_incoming_calls[incoming] = {target, caller, incarnation, id};
      deliver(target, m_nodes[target]->incarnation,
              [=, this] { m_nodes[target]->host->on_peer_request(incoming, request, now()); });
    });
  }

  void answer_peer(std::size_t responder, PeerCallId incoming, PeerResponse response) {
    const auto found = m_incoming_calls.find(incoming);
    if (found == m_incoming_calls.end()) {
      return;
    }
    const PeerCall call = found->second;
    m_incoming_calls.erase(found);
    const std::size_t from = domain_of_host(responder);
    const std::size_t to = domain_of_host(call.caller);
    if (is_link_blocked(from, to)) {
      return;
    }
    at(now() + link_delay(from, to),
       [=, this, response = std::move(response)] { finish_call(call.caller, call.incarnation, call.id, response); });
  }

  // Fails the pending calls to a host that has ended, unless the link back to the caller is blocked.
  void fail_calls_to(std::size_t target) {
    for (const auto& [incoming, call] : m_incoming_calls) {
      if (call.target == target && !is_link_blocked(domain_of_host(target), domain_of_host(call.caller))) {
        at(now() + m_options.latency, [=, this, call = call] {
          finish_call(call.caller, call.incarnation, call.id,
                      tl::unexpected(PeerError{PeerErrorKind::kLost, true, ""}));
        });
      }
    }
    std::erase_if(m_incoming_calls, [target](const auto& entry) { return entry.second.target == target; });
  }

  void finish_call(std::size_t caller, std::uint64_t incarnation, PeerCallId id,
                   const tl::expected<PeerResponse, PeerError>& outcome) {
    const bool timed_out = !outcome.has_value() && outcome.error().kind == PeerErrorKind::kTimeout;
    if (m_pending_calls.erase({caller, id}) == 0 && !timed_out) {
      return;
    }
    deliver(caller, incarnation, [=, this] { m_nodes[caller]->host->on_peer_answered(id, outcome, now()); });
  }

  // Sends the replica the log records that it lacks, once every replication interval.
  void schedule_replication(std::size_t index) {
    at(now() + m_options.replication_interval, [=, this] { schedule_replication(index); });
    const std::optional<std::size_t> source = m_members[index].model.source();
    const bool connected =
        source.has_value() && m_members[index].up && m_members[*source].up && !is_link_blocked(*source, index);
    const std::optional<LogSegment> segment =
        connected ? m_members[*source].model.segment_for(m_members[index].model) : std::nullopt;
    if (!segment.has_value()) {
      return;
    }
    at(now() + link_delay(*source, index) + m_members[index].replication_delay, [=, this] {
      if (m_members[index].up && !is_link_blocked(*source, index)) {
        m_members[index].model.receive(*segment);
      }
    });
  }

  WorldOptions m_options;
  std::mt19937_64 m_random;
  StoreModel m_store;
  std::map<std::pair<std::size_t, WatchId>, std::uint64_t> m_watches;
  std::vector<std::optional<OperatorAnswer>> m_operator_answers;
  Configuration m_configuration;
  std::vector<Member> m_members;
  EventQueue m_events;
  std::set<std::pair<std::size_t, std::size_t>> m_blocked_links;
  std::map<ConnectionKey, Connection> m_connections;
  MemberStatements m_statements;
  std::vector<std::optional<CallerOutcome>> m_outcomes;
  std::set<std::pair<std::size_t, PeerCallId>> m_pending_calls;
  std::map<PeerCallId, PeerCall> m_incoming_calls;
  std::uint64_t m_last_incoming_call = 0;
  // Declared last and so destroyed first, since the destructor of a host closes its connections.
  std::vector<std::unique_ptr<Node>> m_nodes;
};

}  // namespace teaselrudder::model
