#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/ports/caller_session_port.h"
#include "servers/quota/quota_admission.h"
#include "servers/sessions/session.h"
#include "servers/sessions/statement_executor.h"

namespace teaselrudder {

/// Is told that tokens of quotas should be requested.
class QuotaRequestListener {
 public:
  QuotaRequestListener() = default;
  QuotaRequestListener(const QuotaRequestListener&) = delete;
  QuotaRequestListener& operator=(const QuotaRequestListener&) = delete;
  virtual ~QuotaRequestListener() = default;

  virtual void on_tokens_needed(TimePoint now) = 0;
};

/// Manages the callers' sessions on this host. Keeps their variables, prepared statements and transaction state,
/// answers statements that need no member, and passes the others to the executor in order.
class SessionService final : public CallerSessionEvents, private ExecutionEvents {
 public:
  /// Maximum time for which a new session waits for a route to its database while the configuration may be outdated.
  static constexpr Duration kRouteWaitTimeout = std::chrono::milliseconds(1500);
  /// Time after the host stops being ready in which the load balancer may still route new sessions to it: two missed
  /// readiness checks.
  static constexpr Duration kLoadBalancerNoticeTime = std::chrono::milliseconds(2200);
  /// Time without statements after which a session outside a transaction is closed on a host that is stopping or
  /// isolated, so that its caller reconnects to another host.
  static constexpr Duration kMinIdleBeforeClose = std::chrono::milliseconds(150);
  /// Interval at which statements that wait for tokens are decided again.
  static constexpr Duration kTokenCheckInterval = std::chrono::milliseconds(50);
  /// Bounds of the time for which a statement waits for a token: a percentage of the latency objective, and a maximum.
  /// Another host may have what this one lacks, so callers should not be kept from it for long.
  static constexpr std::int64_t kTokenWaitPercent = 50;
  static constexpr Duration kMaxTokenWait = std::chrono::milliseconds(250);
  /// Maximum size of the variables and prepared statements of one session, in bytes. Above the size of the largest
  /// statement, so that a single one is always accepted.
  static constexpr std::size_t kMaxSessionStateBytes = std::size_t{2} << 20U;
  /// A stop is complete this long before the grace period is over, so that the platform does not have to send SIGKILL.
  static constexpr Duration kStopMargin = std::chrono::milliseconds(300);

  SessionService(CallerSessionPort& callers, ExecutorServices services, QuotaPolicy quota_policy = {});

  /// Sets who requests tokens of quotas from the allocator. Without one, operations of accounts with a quota are
  /// refused.
  void set_quota_listener(QuotaRequestListener& listener) { m_quota_listener = &listener; }
  QuotaAdmission& quota() { return m_quota; }
  const QuotaAdmission& quota() const { return m_quota; }
  /// Applies an answer of the quota allocator.
  void on_tokens_granted(const std::vector<QuotaTokens>& granted, TimePoint now);

  /// Applies a routing table. A table that is not newer than the current one is ignored.
  void on_routing_changed(const RoutingTable& table, TimePoint now);

  /// Sets whether the routing table is up to date. It may be outdated if the store has not answered recently.
  void set_routing_current(bool current, TimePoint now);

  /// Sets whether the host is isolated: it receives reports from only a minority of the hosts and cannot reach some
  /// primary. Idle sessions are then closed once the load balancer routes new sessions to other hosts.
  void set_isolated(bool isolated, TimePoint now);

  /// Starts a graceful stop. Once the load balancer routes new sessions to other hosts, sessions are closed as soon as
  /// their last statement is answered, also those that are never idle; after half of `grace` also sessions with an open
  /// transaction, which is rolled back. A statement that may take longer than the rest of the grace period is refused,
  /// and what still runs kStopMargin before its end is answered with what is then known of it.
  void begin_stop(Duration grace, TimePoint now);

  /// Returns true if the stop is complete: all sessions are closed, and the load balancer routes no new ones here.
  bool is_stopped() const { return m_stopped; }

  bool has_routes() const { return m_routing.has_value(); }
  ConfigurationVersion version() const { return m_routing.has_value() ? m_routing->version : ConfigurationVersion(); }
  std::size_t session_count() const { return m_sessions.size(); }
  StatementExecutor& executor() { return m_executor; }
  const StatementExecutor& executor() const { return m_executor; }

  void on_tick(TimePoint now);
  TimePoint next_wakeup() const;

  void on_session_opened(SessionId session, const SessionRequest& request, TimePoint now) override;
  void on_statement(SessionId session, SessionStatement statement, TimePoint now) override;
  void on_bad_statement(SessionId session, StatementErrorCode code, TimePoint now) override;
  void on_session_closed(SessionId session, TimePoint now) override;

 private:
  struct WaitingSession {
    SessionRequest request;
    TimePoint deadline;
  };

  void on_executed(SessionId session, StatementReply reply, TimePoint now) override;

  void accept(SessionId session, const SessionRequest& request, TimePoint now);
  void reject(SessionId session, const SessionRequest& request, StatementErrorCode code);
  void resolve_waiting_sessions(TimePoint now);
  void run_pending(Session& session, TimePoint now);
  void run(Session& session, SessionStatement statement, TimePoint now);
  bool answer_locally(Session& session, const SessionStatement& statement, TimePoint now);
  bool answer_in_failed_transaction(Session& session, const SessionStatement& statement);
  /// Sets a variable, or prepares or deallocates a statement.
  void change_state(Session& session, const SessionStatement& statement);
  void begin(Session& session, const SessionStatement& statement, TimePoint now);
  /// Sets the route and the account of the session's next operation. If the caller may not use the database, answers
  /// the statement and returns false.
  bool choose_route(Session& session);
  /// Returns true if the quota of the session's account admits the operation that begins with `statement`. Otherwise
  /// refuses the statement, or keeps it until tokens are granted.
  bool admit(Session& session, const SessionStatement& statement, TimePoint now);
  /// Decides again on the statements that wait for tokens of these accounts.
  void decide_waiting(const std::vector<AccountId>& accounts, TimePoint now);
  void decide_all_waiting(TimePoint now);
  void request_tokens(TimePoint now);
  /// Decides again on the statements that wait for tokens. Those that have waited for too long are refused.
  void check_waiting_for_tokens(TimePoint now);
  void refuse_for_quota(Session& session);
  void answer(const Session& session, std::optional<StatementErrorCode> error = std::nullopt,
              const std::string& text = {});
  void end_idle_transactions(TimePoint now);
  void close_inactive_sessions(TimePoint now);
  bool should_close_idle_sessions(TimePoint now) const;
  /// Closes a session that was marked for it, unless it has got another statement or a transaction meanwhile.
  void close_if_at_rest(SessionId id, TimePoint now);
  /// Returns true if the host has been stopping for so long that sessions without a transaction are to be closed.
  bool should_close_for_stop(TimePoint now) const;
  /// Returns true if the host has been stopping for so long that open transactions are rolled back.
  bool should_end_transactions(TimePoint now) const;
  /// Returns true if the session has to be closed for the stop once it has no statements.
  bool must_close_for_stop(const Session& session, TimePoint now) const;
  /// Returns true if the host is stopping and may end before a statement that begins now is answered.
  bool is_too_late_for(const Session& session, TimePoint now) const;
  void refuse_for_stop(const Session& session);
  void advance_stop(TimePoint now);
  /// Answers all statements and closes all sessions.
  void end_all_sessions(TimePoint now);
  void close(SessionId id, TimePoint now);

  CallerSessionPort& m_callers;
  Counters& m_counters;
  EventLogPort& m_log;
  SessionTable m_sessions;
  QuotaAdmission m_quota;
  StatementExecutor m_executor;
  QuotaRequestListener* m_quota_listener = nullptr;
  /// Sessions that wait for tokens, in order of arrival. Some may have ended meanwhile.
  std::map<AccountId, std::vector<SessionId>> m_awaiting_tokens;
  TimePoint m_next_token_check;
  /// Waiting statements are being decided again; tokens for those that still wait are requested together afterwards.
  bool m_decides_waiting = false;
  std::optional<RoutingTable> m_routing;
  bool m_routing_current = false;
  std::map<SessionId, WaitingSession> m_waiting;
  TimePoint m_next_sweep;
  std::optional<TimePoint> m_isolated_since;
  /// Sessions that got an error while the host was isolated, or an answer while it is stopping. They are closed on the
  /// next tick, when no function on the call stack refers to them.
  std::vector<SessionId> m_closing;
  std::optional<TimePoint> m_stopping_since;
  Duration m_stop_grace{0};
  bool m_stopped = false;
};

}  // namespace teaselrudder
