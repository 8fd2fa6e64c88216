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

/// Receives the results of executed statements.
class ExecutionEvents {
 public:
  ExecutionEvents() = default;
  ExecutionEvents(const ExecutionEvents&) = delete;
  ExecutionEvents& operator=(const ExecutionEvents&) = delete;
  virtual ~ExecutionEvents() = default;

  /// Called when the session's execution has ended; session.execution is already empty. `reply` is the answer for the
  /// caller and contains the transaction state after it.
  virtual void on_executed(SessionId session, StatementReply reply, TimePoint now) = 0;
};

/// Dependencies of a StatementExecutor; all references must outlive it.
struct ExecutorServices {
  MemberLinkPort& links;
  MemberReportReader read_report;
  Counters& counters;
  EventLogPort& log;
  FailureDomainId own_domain;
  std::uint64_t random_seed = 0;
};

/// Runs the statements of all sessions on the members of database groups. Chooses a member, waits for one of the few
/// connections of this host, sets up the session's state on it, sends the statement, and turns replies, lost
/// connections and timeouts into an answer that says correctly whether the statement may have run.
class StatementExecutor final : public MemberLinkEvents {
 public:
  /// Timeout of the setup of a connection and of the begin of a transaction. Neither takes a slot at the member.
  static constexpr Duration kBeginTimeout = std::chrono::milliseconds(250);
  /// Time without a reply after which a connection is reset before a write is sent on it, which shows whether it still
  /// works. If a write is lost with its connection, its outcome is unknown, and it cannot be retried.
  static constexpr Duration kCheckAfter = std::chrono::milliseconds(700);
  /// Maximum number of attempts of one read.
  static constexpr std::uint32_t kMaxReadAttempts = 3;
  /// Maximum number of attempts to prepare a statement within a transaction.
  static constexpr std::uint32_t kMaxPrepareAttempts = 3;
  /// Time for which a member that failed a request is used only if no other one is available.
  static constexpr Duration kAvoidTime = std::chrono::milliseconds(600);
  /// Time for which a statement waits before this host doubts that it knows the primary.
  static constexpr Duration kDoubtPrimaryAfter = std::chrono::milliseconds(200);
  /// Time without an answer or an acknowledged commit after which a host in the minority treats a primary as
  /// unreachable.
  static constexpr Duration kUnreachableTimeout = std::chrono::milliseconds(400);
  /// Remaining time of a lease below which it is renewed when a commit is sent, so that it still allows to pass on the
  /// acknowledgement.
  static constexpr Duration kLeaseRequestLead = std::chrono::milliseconds(150);
  /// Maximum number of statements that wait for connections to one group. Further ones are refused at once.
  static constexpr std::size_t kMaxWaiting = 400;

  StatementExecutor(ExecutorServices services, SessionTable& sessions, ExecutionEvents& events);

  /// Applies the configuration of the groups. `serves_accounts` tells whether statements belong to client accounts.
  void configure(const std::map<GroupId, ReplicatedGroup>& groups, bool serves_accounts, TimePoint now);
  void on_member_seen(const MemberEntry& entry, TimePoint now);
  void on_member_missing(const MemberId& member, bool store_was_unreachable, TimePoint now);
  /// Notes the primary that the holder of the failover duty has announced. The former primary is told to step down if
  /// this host has an unused connection to it.
  void update_primary(const GroupId& group, const MemberId& member, Term term, TimePoint now);
  /// Notes a lease on reading at the primary and sends statements that waited for it.
  void on_lease(const GroupId& group, const PrimaryLease& lease, TimePoint now);
  /// Returns true if statements have begun to wait for a lease since the last call of clear_lease_request().
  bool requests_lease() const { return m_requests_lease; }
  void clear_lease_request() { m_requests_lease = false; }
  /// Drops the leases on the primary of `replaced`, which the holder of the failover duty is replacing.
  void revoke_leases(const GroupId& group, Term replaced, TimePoint now);
  void end_revocation(const GroupId& group);
  /// Notes that another host reports that the leases on the primary of `term` were revoked.
  void on_revoked_elsewhere(const GroupId& group, Term term, TimePoint now);
  /// Notes that another host told a caller that the commit at `position` is durable.
  void on_acknowledged_elsewhere(const GroupId& group, const LogPoint& position);
  /// Notes that another host has no connection to `member` because the member's limit was reached.
  void on_connection_lacked_elsewhere(const GroupId& group, const MemberId& member, TimePoint now);
  /// Notes a log position that a member reported as primary in a status report at `at`.
  void on_reported_position(const GroupId& group, const LogPoint& position, TimePoint at);
  /// Notes a log position from another host's report: the group's primary returned `position` to a request that was
  /// sent after `at`.
  void on_evidence(const GroupId& group, const LogPoint& position, TimePoint at);
  void set_fleet_size(std::size_t hosts) { m_connections.set_fleet_size(hosts); }
  /// Sets whether this host receives reports from only a minority of the hosts. In the minority it refuses statements
  /// that need an unreachable primary, so that callers have time to try other hosts. When the minority ends, unused
  /// connections without a reply since its beginning are replaced: the network may have dropped the packets of a
  /// connection attempt, which would then wait until its timeout, and members close connections whose remote end they
  /// cannot reach.
  void set_in_minority(bool in_minority, TimePoint now);

  /// Sets whether half of the hosts have reported recently. Without them no acknowledgement of a commit is passed on.
  void set_hears_quorum(bool hears_quorum, TimePoint now);

  /// Sets whether it is known that no host acts as the holder of the failover duty. Nobody replaces a primary or grants
  /// leases then, so commits of synchronous groups need none.
  void set_duty_is_vacant(bool is_vacant, TimePoint now);

  /// Returns true if this host is in the minority and cannot reach the primary of at least one group.
  bool is_isolated(TimePoint now) const;

  /// Starts to execute `statement`. The session must have no running execution, and its route must be set.
  void execute(Session& session, SessionStatement statement, TimePoint now);

  /// Rolls back the session's open transaction if it has begun on a member.
  void roll_back(Session& session, TimePoint now);

  /// Ends the session's execution with the answer that holds for what is known of it now.
  void end_execution(Session& session, const std::string& cause, TimePoint now);

  /// Cancels the session's execution and rolls back its transaction, because the session ends.
  void abandon(Session& session, TimePoint now);

  /// Handles expired timers and, at a fixed interval, maintains connections and groups.
  void on_tick(TimePoint now);

  /// Returns the time at which on_tick() has to be called next.
  TimePoint next_wakeup() const;

  const std::map<GroupId, UpstreamGroup>& groups() const { return m_groups; }

  /// Returns true if there is at least one group and every group has members.
  bool has_members() const;

  /// Returns latency histograms and the number of connections in the Prometheus text format.
  std::string metrics() const;

  void on_link_opened(ConnectionId connection, tl::expected<void, MemberLinkError> outcome, TimePoint now) override;
  void on_link_reply(ConnectionId connection, StatementReply reply, TimePoint now) override;
  void on_link_closed(ConnectionId connection, TimePoint now) override;

 private:
  /// Sort key of waiting statements: priority, then arrival time. The session id makes it unique.
  using WaitingKey = std::tuple<std::uint32_t, TimePoint, SessionId>;

  UpstreamGroup* find_group(const GroupId& group);
  Session* session_of(const MemberConnection& connection);

  // Queueing and assignment to connections.
  void enqueue(Session& session, UpstreamGroup& group, TimePoint now);
  void retry(Session& session, UpstreamGroup& group, const MemberId& failed, StatementErrorCode error, Duration delay,
             TimePoint now);
  void dispatch(UpstreamGroup& group, TimePoint now);
  /// Assigns waiting statements to connections. If `late` is true, only those that are unlikely to meet their latency
  /// objective, otherwise only the others.
  void dispatch_waiting(UpstreamGroup& group, std::set<WaitingKey>& waiting, bool late, TimePoint now);
  /// Returns true if a statement may run at the primary: it is proved that no newer primary acknowledged a commit that
  /// the statement has to see, or would undo.
  bool may_use_primary(const Session& session, const UpstreamGroup& group) const;
  bool refuse_if_unreachable(Session& session, const UpstreamGroup& group, TimePoint now);
  bool try_assign(Session& session, UpstreamGroup& group, TimePoint now);
  std::vector<MemberId> candidates(const Session& session, UpstreamGroup& group, TimePoint now);
  std::size_t active_connections(const UpstreamMember& member);
  std::optional<LogPoint> required_position_of(const Session& session, const UpstreamGroup& group) const;
  /// Returns the position that the member must have reached to run the session's read or begin its transaction.
  std::optional<LogPoint> required_position_at(const Session& session, const UpstreamGroup& group,
                                               const MemberId& member) const;
  void assign(Session& session, UpstreamGroup& group, MemberConnection& connection, TimePoint now);
  /// Sets the session's variables on the connection. Returns false if the connection has them already; otherwise the
  /// statement is sent when the member has confirmed them.
  bool set_up(Session& session, UpstreamGroup& group, MemberConnection& connection, TimePoint now);
  void send_statement(Session& session, UpstreamGroup& group, MemberConnection& connection, TimePoint now);
  MemberCommand command_for(const Session& session, const MemberConnection& connection) const;
  std::optional<PreparedStatement> needed_statement(const Session& session) const;

  // Handling of replies.
  /// Notes that the member refused a command that sets up the connection, so that its state is unknown.
  void on_setup_refused(MemberConnection& connection, const StatementReply& reply);
  void on_setup_reply(Session& session, UpstreamGroup& group, MemberConnection& connection, const StatementReply& reply,
                      TimePoint now);
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
  /// Passes on the acknowledgement of a commit by `primary`, or keeps it until a lease shows that it still leads. A
  /// primary that is being replaced may acknowledge commits that the next one will lack.
  void confirm_commit(Session& session, UpstreamGroup& group, const GroupLeader& primary, StatementReply reply,
                      TimePoint now);
  /// Returns true if commits at the primary need no lease, because nobody replaces it.
  bool may_commit_without_lease(const UpstreamGroup& group) const;
  void release_all_withheld(TimePoint now);
  /// Passes on the withheld acknowledgements that a lease allows. Those of a former primary end with an unknown
  /// outcome.
  void release_withheld(UpstreamGroup& group, TimePoint now);
  bool may_acknowledge(const UpstreamGroup& group, const GroupLeader& primary, TimePoint now) const;
  /// Answers a commit with success.
  void acknowledge(Session& session, UpstreamGroup& group, StatementReply reply, TimePoint now);
  /// Handles a reply for which no execution waits.
  void on_orphan_reply(UpstreamGroup& group, MemberConnection& connection, const ExpectedReply& expected,
                       const StatementReply& reply, TimePoint now);
  /// Adds the position in a success as evidence, if a lease was valid when the request was sent, so that the member was
  /// the primary then.
  static void note_primary_position(UpstreamGroup& group, const MemberConnection& connection,
                                    const StatementReply& reply, TimePoint sent_at);
  void note_position(UpstreamGroup& group, const MemberConnection& connection, const StatementReply& reply,
                     TimePoint now);

  // End of executions and transactions.
  void release(MemberConnection& connection);
  /// Detaches the session from a transaction in which none of its statements has run. `state` is the transaction state
  /// in the member's reply.
  void leave_transaction(Session& session, UpstreamGroup& group, MemberConnection& connection, TransactionState state,
                         TimePoint now);
  void send_rollback(UpstreamGroup& group, MemberConnection& connection, TimePoint now);
  void handle_connection_loss(Session& session, UpstreamGroup& group, const MemberId& member, TimePoint now);
  void finish(Session& session, StatementReply reply, TimePoint now);
  void refuse(Session& session, StatementErrorCode code, const std::string& cause, TimePoint now);
  void fail_transaction(Session& session, StatementErrorCode code, const std::string& cause, TimePoint now);

  // Timers.
  void schedule_timer(const Session& session);
  void on_session_timer(Session& session, TimePoint now);
  void on_running_timer(Session& session, UpstreamGroup& group, TimePoint now);
  Duration hedge_delay(const Session& session) const;
  void run_maintenance(TimePoint now);
  /// Returns the number of connections to the member that are opened before a statement needs them.
  std::size_t preopened_connections(const UpstreamGroup& group, const UpstreamMember& member) const;
  /// Closes unused connections to `member` on which nothing has been answered since `unanswered_since`. They may have
  /// gone silent like one that has just failed.
  void close_stale(UpstreamGroup& group, const MemberId& member, TimePoint unanswered_since);
  void reconnect_stale(TimePoint unanswered_since, TimePoint now);
  void step_down(UpstreamGroup& group, const MemberId& former, TimePoint now);

  ExecutorServices m_services;
  SessionTable& m_sessions;
  ExecutionEvents& m_events;
  UpstreamConnections m_connections;
  std::map<GroupId, UpstreamGroup> m_groups;
  std::map<MemberId, GroupId> m_group_of_member;
  std::map<GroupId, std::set<WaitingKey>> m_waiting;
  /// Sessions whose commit waits for a lease. Some may have ended meanwhile.
  std::map<GroupId, std::set<SessionId>> m_withheld;
  bool m_requests_lease = false;
  bool m_serves_accounts = false;
  TimerQueue<SessionId> m_timers;
  TimePoint m_next_maintenance;
  /// Time at which this host became part of a minority; nothing if it is in the majority.
  std::optional<TimePoint> m_in_minority_since;
  bool m_hears_quorum = true;
  bool m_duty_is_vacant = false;
  RetryBudget m_retry_budget;
  RandomSequence m_random;
  LatencyHistogram m_read_latency;
  LatencyHistogram m_write_latency;
  LatencyHistogram m_wait_latency;
};

}  // namespace teaselrudder
