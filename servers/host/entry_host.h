#pragma once

#include <map>
#include <optional>
#include <string>

#include "core/session/session_token.h"
#include "servers/configuration/configuration_manager.h"
#include "servers/host/decision_log.h"
#include "servers/host/group_directory.h"
#include "servers/host/host_context.h"
#include "servers/host/peer_call_table.h"
#include "servers/host/planned_stop.h"
#include "servers/host/request_service.h"
#include "servers/membership/host_table.h"
#include "servers/operator/command_service.h"

namespace teaselrudder {

/// The logic of one host: receives every event from outside the process and passes it to the part that handles it.
///
/// It does no input or output itself and reads no clock: it acts through HostPorts, and each event carries the current
/// time. After each event, the program has to call on_tick() at the time that next_wakeup() returns.
class EntryHost : public CallerEvents,
                  public UpstreamEvents,
                  public PeerEvents,
                  public HostListEvents,
                  public StoreEvents,
                  public OperatorEvents,
                  public OperatorView,
                  private RequestSink,
                  private ConfigurationSink {
 public:
  EntryHost(const HostSettings& settings, HostPorts ports, HostCharts charts, Counters& counters, TimePoint now);

  /// Applies `configuration` if its version is higher than that of the current one. Returns false otherwise. `source`
  /// is written to the log.
  bool adopt_configuration(const Configuration& configuration, const std::string& source, TimePoint now);

  /// Adds another host that the settings name.
  void add_known_host(const HostRecord& record, TimePoint now);

  /// Starts a graceful stop. planned_stop() tells when the process may end.
  void stop(const std::string& cause, TimePoint now);

  /// Runs the work whose time has come: timers, deadlines, probes of other hosts and the steps of a graceful stop.
  void on_tick(TimePoint now);

  /// Returns when on_tick() is due next.
  TimePoint next_wakeup() const;

  void on_caller_request(CallerRequestId id, Request request, TimePoint now) override;
  void on_caller_disconnected(CallerRequestId id, TimePoint now) override;

  void on_upstream_opened(ConnectionId connection, tl::expected<void, UpstreamError> outcome, TimePoint now) override;
  void on_upstream_completed(ConnectionId connection, OperationId operation,
                             tl::expected<UpstreamResult, UpstreamError> outcome, TimePoint now) override;
  void on_upstream_closed(ConnectionId connection, TimePoint now) override;

  void on_peer_request(PeerCallId call, PeerRequest request, TimePoint now) override;
  void on_peer_request_cancelled(PeerCallId call, TimePoint now) override;
  void on_peer_answered(PeerCallId call, tl::expected<PeerResponse, PeerError> outcome, TimePoint now) override;

  void on_host_list(tl::expected<std::vector<HostRecord>, StoreError> outcome, TimePoint now) override;

  void on_store_read(StoreCallId call, tl::expected<StoreValue, StoreError> outcome, TimePoint now) override;
  void on_store_swapped(StoreCallId call, tl::expected<CompareAndSwapResult, StoreError> outcome,
                        TimePoint now) override;
  void on_store_changed(WatchId watch, const StoreValue& value, TimePoint now) override;
  void on_watch_failed(WatchId watch, const StoreError& error, TimePoint now) override;

  void on_operator_command(OperatorRequestId request, std::string command, bool check_only, TimePoint now) override;

  std::vector<CellRow> show_rows(ShowTarget target, TimePoint now) const override;

  const Configuration& configuration() const { return m_configuration_manager.current(); }
  const ConfigurationManager& configuration_manager() const { return m_configuration_manager; }
  const Counters& counters() const { return m_context.counters; }

  /// Returns the number of requests for `service` that callers of this host have sent and that have no answer yet.
  std::size_t requests_in_flight(const ServiceName& service) const;

  const HostTable& hosts() const { return m_hosts; }
  const GroupDirectory& groups() const { return m_groups; }
  const PlannedStop& planned_stop() const { return m_stop; }
  const DecisionLog& decisions() const { return m_decisions; }
  const RequestService& requests() const { return m_requests; }
  const LatencyHistogram& latencies() const { return m_latencies; }

 private:
  /// The replies of the group's other owners to the queries about a suspected primary.
  struct SuspicionRound {
    Term term;
    std::size_t asked = 0;
    // Calls that ended, with or without a reply.
    std::size_t returned = 0;
    // Replies from hosts that monitor the group.
    std::size_t answered = 0;
    std::size_t suspecting = 0;
    Term highest_known;
  };

  /// A caller's request that has not been answered.
  struct PendingRequest {
    ServiceName service;
    GroupId group;
    TimePoint arrived;
  };

  void finish_request(const Origin& origin, const RequestEnvelope& envelope, RequestOutcome outcome,
                      TimePoint now) override;
  bool forward_request(ExecutionId execution, const HostId& host, RequestEnvelope envelope, Duration timeout,
                       TimePoint now) override;

  void configuration_adopted(const Configuration& configuration, const std::string& source, TimePoint now) override;
  bool fetch_configuration(const HostId& host, ConfigurationVersion known) override;
  void announce_version(const HostId& host) override;
  void configuration_change_finished(ChangeNumber change, const ChangeOutcome& outcome, TimePoint now) override;

  void process_notifications(TimePoint now);
  void handle_notification(const GroupId& group, const GroupNotification& notification, TimePoint now);
  void answer_caller(CallerRequestId id, const RequestEnvelope& envelope, RequestOutcome outcome, TimePoint now);
  void refuse_caller(CallerRequestId id, Refusal refusal, const RequestId& request_id, std::string token);
  void send_suspicion_queries(const GroupId& group, const AskSuspicion& ask, TimePoint now);
  void on_suspicion_reply(const SuspicionCall& call, const SuspicionReply* reply, TimePoint now);
  void call_peer(const HostRecord& peer, PeerRequest request, Duration timeout, CallPurpose purpose);
  void on_forward_answered(const ForwardCall& forward, tl::expected<PeerResponse, PeerError> outcome, TimePoint now);
  /// Handles the answer to a probe; `reply` is null if there was none.
  void on_probe_answered(const HostId& host, const ProbeReply* reply, TimePoint now);
  void probe_hosts(TimePoint now);
  void send_probe(const HostRecord& target, Duration timeout);
  /// Probes hosts that have stopped answering while forwarded requests wait for them. Once such a host is suspect, the
  /// requests continue without it.
  void check_silent_hosts(TimePoint now);
  /// Ends the wait for the answers to all requests that were forwarded to `host`. Requests that may have run there get
  /// their outcome from the database group.
  void give_up_forwards(const HostId& host, TimePoint now);
  void on_probe(PeerCallId call, const Probe& probe, TimePoint now);
  void on_suspicion_query(PeerCallId call, const SuspicionQuery& query, TimePoint now);
  void on_configuration_fetch(PeerCallId call, const FetchConfiguration& fetch);
  void merge_records(const std::vector<HostRecord>& records, TimePoint now);
  void hosts_changed(const std::string& cause, TimePoint now);
  std::size_t open_work() const;
  void record_decision(std::string subject, std::string event, std::string cause, TimePoint now);
  RequestId generate_request_id();

  HostContext m_context;
  HostTable m_hosts;
  ConfigurationManager m_configuration_manager;
  GroupDirectory m_groups;
  RequestService m_requests;
  PlannedStop m_stop;
  CommandService m_commands;
  DecisionLog m_decisions;
  SessionTokenCodec m_tokens;
  LatencyHistogram m_latencies;
  std::map<CallerRequestId, PendingRequest> m_pending_requests;
  std::map<ServiceName, std::size_t> m_in_flight;
  PeerCallTable m_peer_calls;
  std::map<GroupId, SuspicionRound> m_suspicion_rounds;
  std::uint64_t m_last_request_number = 0;
  TimePoint m_next_probe_check;
  TimePoint m_next_host_list;
  bool m_owners_changed = false;
  TimePoint m_next_owner_update;
};

}  // namespace teaselrudder
