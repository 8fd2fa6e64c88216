#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "core/metrics/counters.h"
#include "core/metrics/latency_histogram.h"
#include "core/ports/event_log_port.h"
#include "core/ports/member_link_port.h"
#include "core/random_sequence.h"
#include "servers/host/timer_queue.h"
#include "servers/scheduling/retry_budget.h"
#include "servers/sessions/read_candidates.h"
#include "servers/sessions/session.h"
#include "servers/sessions/upstream_connections.h"
#include "servers/sessions/upstream_group.h"

namespace teaselrudder {

/// Receives the answers to executed statements.
class ExecutionEvents {
 public:
  ExecutionEvents() = default;
  ExecutionEvents(const ExecutionEvents&) = delete;
  ExecutionEvents& operator=(const ExecutionEvents&) = delete;
  virtual ~ExecutionEvents() = default;

  /// The session's execution has ended and is gone; `reply` is its answer with the session's state after it.
  virtual void on_executed(SessionId session, StatementReply reply, TimePoint now) = 0;
};

/// What an executor needs; everything outlives it.
struct ExecutorServices {
  MemberLinkPort& links;
  MemberReportReader read_report;
  Counters& counters;
  EventLogPort& log;
  FailureDomainId own_domain;
  std::uint64_t random_seed = 0;
};

/// Runs statements of sessions on the members of database groups: chooses the member, waits for one of this host's few
/// connections, prepares it for the session, and turns what happens there into a truthful answer.
class StatementExecutor final : public MemberLinkEvents {
 public:
  /// Time after which a check or the begin of a transaction counts as lost. Neither takes a slot at the member.
  static constexpr Duration kBeginTimeout = std::chrono::milliseconds(250);
  /// Silence after which a connection is checked before it carries a write, whose loss could not be made good.
  static constexpr Duration kCheckAfter = std::chrono::milliseconds(700);
  /// Attempts of one read.
  static constexpr std::uint32_t kMaxReadAttempts = 3;
  /// Time for which a member that failed a request gets less work.
  static constexpr Duration kAvoidTime = std::chrono::milliseconds(600);
  /// Least time between two questions to the members who leads.
  static constexpr Duration kResolvePause = std::chrono::milliseconds(150);
  /// Waiting time for a primary after which the members are asked who leads.
  static constexpr Duration kResolveAfterWait = std::chrono::milliseconds(200);
  /// Time without progress after which a host in the minority takes a primary to be unreachable.
  static constexpr Duration kUnreachable = std::chrono::milliseconds(400);
  /// Statements that wait for one group's connections. Beyond it they are refused at once.
  static constexpr std::size_t kMaxWaiting = 400;

  StatementExecutor(ExecutorServices services, SessionTable& sessions, ExecutionEvents& events);

  /// Takes over the configured groups.
  void configure(const std::map<GroupId, ReplicatedGroup>& groups, TimePoint now);
  void on_member_seen(const MemberEntry& entry, TimePoint now);
  void on_member_gone(const MemberId& member, bool store_was_away, TimePoint now);
  /// Learns from another host, or from a promotion, who leads.
  void learn_primary(const GroupId& group, const MemberId& member, Term term, TimePoint now);
  /// Notes a position that a status report says the group's primary held at `at`.
  void on_reported_position(const GroupId& group, const LogPoint& position, TimePoint at);
  /// Notes evidence of another host: the group's primary returned `position` to a request that was sent after `at`.
  void on_evidence(const GroupId& group, const LogPoint& position, TimePoint at);
  void set_fleet_size(std::size_t hosts) { m_connections.set_fleet_size(hosts); }
  /// Sets whether this host hears only a minority of the fleet. It then refuses what an unreachable primary would have
  /// to run, so that callers turn to other hosts while there is time. When the minority ends, connections that were not
  /// heard in it are made anew: an attempt waits for an answer that the cut has swallowed, and a member drops
  /// connections whose remote end it does not reach.
  void set_in_minority(bool in_minority, TimePoint now);

  /// Tells whether this host is in the minority and cannot reach the primary of some group.
  bool is_cut_off(TimePoint now) const;

  /// Begins to execute `statement` of a session that has no execution. The session's route is set.
  void execute(Session& session, SessionStatement statement, TimePoint now);

  /// Rolls the session's open transaction back, if a member knows of it.
  void roll_back(Session& session, TimePoint now);

  /// Gives up what the session has open, because its caller is gone or rests too long.
  void abandon(Session& session, TimePoint now);

  /// Does what is due for all sessions, connections and groups.
  void on_tick(TimePoint now);

  /// Returns when on_tick() is due next.
  TimePoint next_wakeup() const;

  const std::map<GroupId, UpstreamGroup>& groups() const { return m_groups; }

  /// Tells whether every configured group has members.
  bool has_members() const;

  /// Writes the latencies in the Prometheus text form.
  std::string metrics() const;

  void on_link_opened(ConnectionId connection, tl::expected<void, MemberLinkError> outcome, TimePoint now) override;
  void on_link_reply(ConnectionId connection, StatementReply reply, TimePoint now) override;
  void on_link_closed(ConnectionId connection, TimePoint now) override;

 private:
  /// Order of waiting statements: by priority, then by arrival.
  using WaitingKey = std::tuple<std::uint32_t, TimePoint, SessionId>;

  UpstreamGroup* find_group(const GroupId& group);
  Session* session_of(const MemberConnection& connection);

  // Waiting and assignment.
  void enqueue(Session& session, UpstreamGroup& group, TimePoint now);
  void retry(Session& session, UpstreamGroup& group, const MemberId& failed, StatementErrorCode error, Duration pause,
             TimePoint now);
  void dispatch(UpstreamGroup& group, TimePoint now);
  void dispatch_waiting(UpstreamGroup& group, std::set<WaitingKey>& waiting, bool late, TimePoint now);
  bool refuse_if_unreachable(Session& session, const UpstreamGroup& group, TimePoint now);
  bool try_assign(Session& session, UpstreamGroup& group, TimePoint now);
  std::vector<MemberId> candidates(const Session& session, const UpstreamGroup& group, TimePoint now);
  std::size_t active_connections(const UpstreamMember& member);
  std::optional<LogPoint> required_of(const Session& session, const UpstreamGroup& group) const;
  void assign(Session& session, UpstreamGroup& group, MemberConnection& connection, TimePoint now);
  void send_statement(Session& session, UpstreamGroup& group, MemberConnection& connection, TimePoint now);
  MemberCommand command_for(const Session& session) const;
  std::optional<PreparedStatement> needed_statement(const Session& session) const;

  // Replies.
  void on_begin_reply(Session& session, UpstreamGroup& group, MemberConnection& connection, const StatementReply& reply,
                      TimePoint sent_at, TimePoint now);
  void on_statement_reply(Session& session, UpstreamGroup& group, MemberConnection& connection, StatementReply reply,
                          TimePoint sent_at, TimePoint now);
  void on_statement_done(Session& session, UpstreamGroup& group, MemberConnection& connection, StatementReply reply,
                         TimePoint sent_at, TimePoint now);
  void on_statement_error(Session& session, UpstreamGroup& group, MemberConnection& connection, StatementReply reply,
                          TimePoint now);
  void on_transaction_error(Session& session, UpstreamGroup& group, MemberConnection& connection, StatementReply reply,
                            TimePoint now);
  void on_orphan_reply(UpstreamGroup& group, MemberConnection& connection, const ExpectedReply& expected,
                       const StatementReply& reply, TimePoint now);
  void on_status_reply(UpstreamGroup& group, const MemberConnection& connection, const StatementReply& reply,
                       TimePoint now);
  void note_position(UpstreamGroup& group, const MemberConnection& connection, const StatementReply& reply,
                     TimePoint now);

  // Ends.
  void release(MemberConnection& connection);
  /// Takes the session off a transaction in which nothing of it has run; `state` is what the member said of it.
  void leave_transaction(Session& session, UpstreamGroup& group, MemberConnection& connection, TransactionState state,
                         TimePoint now);
  void send_rollback(UpstreamGroup& group, MemberConnection& connection, TimePoint now);
  void lose_connection(Session& session, UpstreamGroup& group, const MemberId& member, TimePoint now);
  void finish(Session& session, StatementReply reply, TimePoint now);
  void refuse(Session& session, StatementErrorCode code, const std::string& cause, TimePoint now);
  void fail_transaction(Session& session, StatementErrorCode code, const std::string& cause, TimePoint now);

  // Timers.
  void arm(const Session& session);
  void on_session_timer(Session& session, TimePoint now);
  void on_running_timer(Session& session, UpstreamGroup& group, TimePoint now);
  Duration hedge_delay(const Session& session) const;
  void upkeep(TimePoint now);
  void connect_anew(TimePoint unheard_since, TimePoint now);
  void doubt_primary(UpstreamGroup& group, TimePoint now);

  ExecutorServices m_services;
  SessionTable& m_sessions;
  ExecutionEvents& m_events;
  UpstreamConnections m_connections;
  std::map<GroupId, UpstreamGroup> m_groups;
  std::map<MemberId, GroupId> m_group_of_member;
  std::map<GroupId, std::set<WaitingKey>> m_waiting;
  std::map<GroupId, TimePoint> m_resolved_at;
  TimerQueue<SessionId> m_timers;
  TimePoint m_next_upkeep;
  /// Since when this host hears only a minority of the fleet.
  std::optional<TimePoint> m_in_minority_since;
  RetryBudget m_retry_budget;
  RandomSequence m_random;
  LatencyHistogram m_read_latency;
  LatencyHistogram m_write_latency;
  LatencyHistogram m_wait_latency;
};

}  // namespace teaselrudder
