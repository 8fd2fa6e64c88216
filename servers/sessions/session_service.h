#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/ports/caller_session_port.h"
#include "servers/sessions/session.h"
#include "servers/sessions/statement_executor.h"

namespace teaselrudder {

/// The sessions of this host's callers: keeps their values, prepared statements and transaction state, answers what
/// needs no member, and hands the rest to the executor in order.
class SessionService final : public CallerSessionEvents, private ExecutionEvents {
 public:
  /// Time for which a session waits for a route while the configuration may be outdated.
  static constexpr Duration kRouteWait = std::chrono::milliseconds(1500);
  /// Time after the host ceased to be ready in which the balancer may still send sessions here: two missed readiness
  /// checks.
  static constexpr Duration kRotationNotice = std::chrono::milliseconds(2200);
  /// Rest after which a session is closed between two operations, so that its caller turns to another host.
  static constexpr Duration kCloseRest = std::chrono::milliseconds(150);

  SessionService(CallerSessionPort& callers, ExecutorServices services);

  /// Takes over a configuration. One that is not newer than the present one is ignored.
  void on_routing_changed(const RoutingTable& table, TimePoint now);

  /// Tells whether the routing table may be outdated, because the store has not answered lately.
  void set_routing_current(bool current, TimePoint now);

  /// Tells whether the host is cut off. Sessions at rest are closed then, once the balancer sends their callers to
  /// other hosts.
  void set_cut_off(bool cut_off, TimePoint now);

  /// Closes sessions as they come to rest; after half of `grace` open transactions are rolled back.
  void begin_stop(Duration grace, TimePoint now);

  /// True once a stopping host has no session.
  bool is_stopped() const { return m_stopping_since.has_value() && m_sessions.empty(); }

  bool has_routes() const { return m_routing.has_value(); }
  ConfigurationVersion version() const { return m_routing.has_value() ? m_routing->version : ConfigurationVersion(); }
  std::size_t session_count() const { return m_sessions.size(); }
  StatementExecutor& executor() { return m_executor; }
  const StatementExecutor& executor() const { return m_executor; }

  void on_tick(TimePoint now);
  TimePoint next_wakeup() const;

  void on_session_opened(SessionId session, const DatabaseName& database, TimePoint now) override;
  void on_statement(SessionId session, SessionStatement statement, TimePoint now) override;
  void on_bad_statement(SessionId session, StatementErrorCode code, TimePoint now) override;
  void on_session_closed(SessionId session, TimePoint now) override;

 private:
  struct WaitingSession {
    DatabaseName database;
    TimePoint deadline;
  };

  void on_executed(SessionId session, StatementReply reply, TimePoint now) override;

  void accept(SessionId session, const DatabaseName& database, TimePoint now);
  void settle_waiting(TimePoint now);
  void run_pending(Session& session, TimePoint now);
  void run(Session& session, SessionStatement statement, TimePoint now);
  bool answer_here(Session& session, const SessionStatement& statement, TimePoint now);
  bool answer_in_failed_transaction(Session& session, const SessionStatement& statement);
  void begin(Session& session, const SessionStatement& statement, TimePoint now);
  bool choose_route(Session& session);
  void answer(const Session& session, std::optional<StatementErrorCode> error = std::nullopt,
              const std::string& text = {});
  void end_idle_transactions(TimePoint now);
  void close_resting(TimePoint now);
  bool closes_idle(TimePoint now) const;
  void close_if_idle(SessionId id, TimePoint now);
  void close(SessionId id, TimePoint now);

  CallerSessionPort& m_callers;
  Counters& m_counters;
  EventLogPort& m_log;
  SessionTable m_sessions;
  StatementExecutor m_executor;
  std::optional<RoutingTable> m_routing;
  bool m_routing_current = false;
  std::map<SessionId, WaitingSession> m_waiting;
  TimePoint m_next_sweep;
  std::optional<TimePoint> m_cut_off_since;
  /// Sessions that were refused because the host is cut off, to be closed once no call refers to them.
  std::vector<SessionId> m_handed_over;
  std::optional<TimePoint> m_stopping_since;
  Duration m_stop_grace{0};
};

}  // namespace teaselrudder
