#include "servers/host/entry_host.h"

#include <algorithm>
#include <utility>

#include "core/config/configuration_json.h"
#include "core/overloaded.h"
#include "servers/host/request_resolver.h"
#include "servers/host/show_rows.h"

namespace teaselrudder {

namespace {

constexpr Duration kProbeCheckInterval = std::chrono::milliseconds(200);
// The owners of all groups are recomputed after a change of the hosts, at most once in this interval: the loss of a
// failure domain causes many changes in a row.
constexpr Duration kOwnerUpdateInterval = std::chrono::milliseconds(200);
constexpr Duration kHostListInterval = std::chrono::seconds(5);
constexpr Duration kConfigurationFetchTimeout = std::chrono::seconds(2);
// Timeout of the probe of a host that has not answered a forwarded request for a while. Shorter than that of other
// probes, because callers wait.
constexpr Duration kSilenceProbeTimeout = std::chrono::milliseconds(300);

}  // namespace

EntryHost::EntryHost(const HostSettings& settings, HostPorts ports, HostCharts charts, Counters& counters,
                     TimePoint now)
    : m_context{settings, ports, std::move(charts), counters, IdSource(), RandomSequence(settings.random_seed)},
      m_hosts(settings.self, settings.host_table_timings, settings.random_seed),
      m_configuration_manager({settings.store_prefix, settings.random_seed + 1, m_context.charts.change, m_hosts,
                               ports.store, m_context.ids, counters},
                              *this, now),
      m_groups(m_context, m_hosts),
      m_requests(m_context, m_groups, *this),
      m_stop(m_context),
      m_commands(*this, m_configuration_manager, ports.operators, counters),
      m_tokens(settings.token_key),
      m_next_probe_check(now),
      m_next_host_list(now) {}

bool EntryHost::adopt_configuration(const Configuration& configuration, const std::string& source, TimePoint now) {
  const bool adopted = m_configuration_manager.adopt(configuration, source, now);
  process_notifications(now);
  return adopted;
}

void EntryHost::configuration_adopted(const Configuration& configuration, const std::string& source, TimePoint now) {
  m_groups.apply_configuration(configuration, now);
  record_decision(m_context.settings.self.host.value(),
                  "configuration_version_" + std::to_string(configuration.version.value()), "adopted from " + source,
                  now);
  if (configuration.draining_hosts.contains(m_context.settings.self.host) && m_stop.healthy()) {
    stop("the configuration lists this host as draining", now);
  }
}

bool EntryHost::fetch_configuration(const HostId& host, ConfigurationVersion known) {
  const HostRecord* const record = m_hosts.find(host);
  if (record == nullptr) {
    return false;
  }
  call_peer(*record, FetchConfiguration{known}, kConfigurationFetchTimeout, ConfigurationCall{host});
  return true;
}

void EntryHost::announce_version(const HostId& host) {
  if (const HostRecord* const record = m_hosts.find(host)) {
    call_peer(*record, Probe{m_hosts.self(), configuration().version, {m_hosts.self()}},
              m_context.settings.host_table_timings.probe_timeout, ProbeCall{host});
  }
}

void EntryHost::configuration_change_finished(ChangeNumber change, const ChangeOutcome& outcome, TimePoint now) {
  if (outcome.has_value()) {
    record_decision(m_context.settings.self.host.value(),
                    "configuration_change_accepted_" + std::to_string(outcome->version.value()),
                    "change " + outcome->change_id, now);
  }
  m_commands.on_change_finished(change, outcome);
}

void EntryHost::add_known_host(const HostRecord& record, TimePoint now) {
  if (m_hosts.merge(record, now)) {
    hosts_changed("settings", now);
  }
}

void EntryHost::stop(const std::string& cause, TimePoint now) {
  m_hosts.leave(now);
  m_stop.start(cause, now);
  hosts_changed(cause, now);
  // Tell the other hosts at once that this one is leaving, so that they no longer forward requests to it.
  for (const HostRecord& record : m_hosts.all_records()) {
    if (record.host != m_context.settings.self.host && record.state == HostState::kAlive) {
      announce_version(record.host);
    }
  }
}

void EntryHost::on_tick(TimePoint now) {
  if (m_owners_changed && now >= m_next_owner_update) {
    m_owners_changed = false;
    m_next_owner_update = now + kOwnerUpdateInterval;
    m_groups.update_owners(now);
  }
  check_silent_hosts(now);
  m_groups.on_tick(now);
  // The results of members have to be processed before deadlines are checked, or a request that has a result could be
  // ended a second time by its deadline.
  process_notifications(now);
  m_requests.on_tick(now);
  m_configuration_manager.on_tick(now);
  if (now >= m_next_probe_check) {
    m_next_probe_check = now + kProbeCheckInterval;
    probe_hosts(now);
  }
  if (now >= m_next_host_list) {
    m_next_host_list = now + kHostListInterval;
    m_context.ports.host_list.fetch_host_list();
  }
  process_notifications(now);
  m_stop.on_tick(open_work(), now);
}

TimePoint EntryHost::next_wakeup() const {
  TimePoint earliest = std::min(m_next_probe_check, m_next_host_list);
  const auto consider = [&earliest](const std::optional<TimePoint>& due) {
    if (due.has_value()) {
      earliest = std::min(earliest, *due);
    }
  };
  if (m_owners_changed) {
    consider(m_next_owner_update);
  }
  consider(m_peer_calls.next_check());
  consider(m_groups.next_wakeup());
  consider(m_requests.next_wakeup());
  consider(m_configuration_manager.next_wakeup());
  consider(m_stop.next_wakeup());
  return earliest;
}

void EntryHost::on_caller_request(CallerRequestId id, Request request, TimePoint now) {
  const RequestId generated = generate_request_id();
  const RequestId request_id = request.request_id.value_or(generated);
  const bool continues = request.step != TransactionStep::kNone && request.step != TransactionStep::kBegin;
  // Open transactions may be finished during a stop; all other requests are refused.
  if (!m_stop.admits() && !continues) {
    Refusal refusal = make_refusal(RefusalReason::kStopping, Ran::kNo, "the host is stopping");
    refusal.retry_after = Duration::zero();
    refuse_caller(id, std::move(refusal), request_id, request.token);
    return;
  }
  auto envelope = resolve_request(request, m_configuration_manager.current(), m_tokens, generated);
  if (!envelope.has_value()) {
    refuse_caller(id, envelope.error(), request_id, std::string());
    return;
  }
  std::size_t& in_flight = m_in_flight[envelope->service];
  if (in_flight >= m_configuration_manager.current().services.at(envelope->service).max_in_flight) {
    Refusal refusal = make_refusal(RefusalReason::kQueueFull, Ran::kNo, "the service has too many requests in flight");
    refusal.retry_after = std::chrono::seconds(1);
    refuse_caller(id, std::move(refusal), request_id, request.token);
    return;
  }
  ++in_flight;
  m_context.counters.count("requests");
  m_pending_requests.emplace(id, PendingRequest{envelope->service, envelope->group, now});
  m_requests.start(id, std::move(*envelope), now);
  process_notifications(now);
}

void EntryHost::on_caller_disconnected(CallerRequestId id, TimePoint now) {
  const auto found = m_pending_requests.find(id);
  if (found == m_pending_requests.end()) {
    return;
  }
  --m_in_flight[found->second.service];
  m_pending_requests.erase(found);
  m_requests.cancel(id, now);
  process_notifications(now);
}

void EntryHost::on_upstream_opened(ConnectionId connection, tl::expected<void, UpstreamError> outcome, TimePoint now) {
  m_groups.on_opened(connection, outcome, now);
  process_notifications(now);
}

void EntryHost::on_upstream_completed(ConnectionId connection, OperationId operation,
                                      tl::expected<UpstreamResult, UpstreamError> outcome, TimePoint now) {
  m_groups.on_completed(connection, operation, std::move(outcome), now);
  process_notifications(now);
}

void EntryHost::on_upstream_closed(ConnectionId connection, TimePoint now) {
  m_groups.on_closed(connection, now);
  process_notifications(now);
}

void EntryHost::on_peer_request(PeerCallId call, PeerRequest request, TimePoint now) {
  std::visit(Overloaded{
                 [&](SubmitRequest& submit) { m_requests.start(call, std::move(submit.envelope), now); },
                 [&](const Probe& probe) { on_probe(call, probe, now); },
                 [&](const SuspicionQuery& query) { on_suspicion_query(call, query, now); },
                 [&](const FetchConfiguration& fetch) { on_configuration_fetch(call, fetch); },
             },
             request);
  process_notifications(now);
}

void EntryHost::on_peer_request_cancelled(PeerCallId call, TimePoint now) {
  m_requests.cancel(call, now);
  process_notifications(now);
}

void EntryHost::on_peer_answered(PeerCallId call, tl::expected<PeerResponse, PeerError> outcome, TimePoint now) {
  const std::optional<CallPurpose> purpose = m_peer_calls.take(call, outcome.has_value(), now);
  if (!purpose.has_value()) {
    return;
  }
  const bool reached = outcome.has_value();
  std::visit(Overloaded{
                 [&](const ForwardCall& forward) { on_forward_answered(forward, std::move(outcome), now); },
                 [&](const ProbeCall& probe) {
                   on_probe_answered(probe.host, reached ? std::get_if<ProbeReply>(&*outcome) : nullptr, now);
                 },
                 [&](const SuspicionCall& suspicion) {
                   on_suspicion_reply(suspicion, reached ? std::get_if<SuspicionReply>(&*outcome) : nullptr, now);
                 },
                 [&](const ConfigurationCall& fetch) {
                   m_configuration_manager.on_peer_configuration(
                       fetch.host, reached ? std::get_if<ConfigurationReply>(&*outcome) : nullptr, now);
                 },
             },
             *purpose);
  process_notifications(now);
}

void EntryHost::on_forward_answered(const ForwardCall& forward, tl::expected<PeerResponse, PeerError> outcome,
                                    TimePoint now) {
  if (outcome.has_value() && std::holds_alternative<SubmitReply>(*outcome)) {
    m_requests.on_forward_answered(forward.execution, forward.host, std::move(std::get<SubmitReply>(*outcome).outcome),
                                   now);
    return;
  }
  const PeerError error = outcome.has_value()
                              ? PeerError{PeerErrorKind::kBadMessage, true, "the host's answer is of the wrong kind"}
                              : outcome.error();
  const bool unreachable = error.kind == PeerErrorKind::kUnreachable || error.kind == PeerErrorKind::kLost;
  if (unreachable && m_hosts.on_failure(forward.host, now)) {
    hosts_changed("host " + forward.host.value() + " did not answer a forwarded request", now);
  }
  m_requests.on_forward_answered(forward.execution, forward.host, tl::unexpected(error), now);
}

void EntryHost::on_probe_answered(const HostId& host, const ProbeReply* reply, TimePoint now) {
  if (reply == nullptr) {
    if (m_hosts.on_failure(host, now)) {
      hosts_changed("host " + host.value() + " did not answer a probe", now);
    }
    return;
  }
  if (m_hosts.on_answer(reply->responder, now)) {
    hosts_changed("probe answer from " + host.value(), now);
  }
  merge_records(reply->records, now);
  m_configuration_manager.on_peer_version(reply->responder.host, reply->configuration_version);
}

void EntryHost::on_host_list(tl::expected<std::vector<HostRecord>, StoreError> outcome, TimePoint now) {
  if (!outcome.has_value()) {
    m_context.counters.count("host_list_failures");
    return;
  }
  if (m_hosts.merge_list(*outcome, now)) {
    hosts_changed("the platform's list of hosts was read", now);
  }
  process_notifications(now);
}

void EntryHost::on_store_read(StoreCallId call, tl::expected<StoreValue, StoreError> outcome, TimePoint now) {
  m_configuration_manager.on_store_read(call, outcome, now);
  process_notifications(now);
}

void EntryHost::on_store_swapped(StoreCallId call, tl::expected<CompareAndSwapResult, StoreError> outcome,
                                 TimePoint now) {
  m_configuration_manager.on_store_swapped(call, outcome, now);
  process_notifications(now);
}

void EntryHost::on_store_changed(WatchId watch, const StoreValue& value, TimePoint now) {
  m_configuration_manager.on_store_changed(watch, value, now);
  process_notifications(now);
}

void EntryHost::on_watch_failed(WatchId watch, const StoreError& /*error*/, TimePoint now) {
  m_configuration_manager.on_watch_failed(watch, now);
}

void EntryHost::on_operator_command(OperatorRequestId request, std::string command, bool check_only, TimePoint now) {
  m_commands.on_operator_command(request, std::move(command), check_only, now);
  process_notifications(now);
}

std::vector<CellRow> EntryHost::show_rows(ShowTarget target, TimePoint now) const {
  return show_host_rows(*this, target, now);
}

std::size_t EntryHost::requests_in_flight(const ServiceName& service) const {
  const auto found = m_in_flight.find(service);
  return found == m_in_flight.end() ? 0 : found->second;
}

void EntryHost::finish_request(const Origin& origin, const RequestEnvelope& envelope, RequestOutcome outcome,
                               TimePoint now) {
  if (const auto* const call = std::get_if<PeerCallId>(&origin)) {
    m_context.ports.peers.answer(*call, SubmitReply{std::move(outcome)});
    return;
  }
  answer_caller(std::get<CallerRequestId>(origin), envelope, std::move(outcome), now);
}

bool EntryHost::forward_request(ExecutionId execution, const HostId& host, RequestEnvelope envelope, Duration timeout,
                                TimePoint now) {
  const HostRecord* const record = m_hosts.find(host);
  if (record == nullptr) {
    return false;
  }
  const auto call = m_context.ids.next<PeerCallId>();
  m_peer_calls.add_forward(call, {execution, host}, now);
  m_context.ports.peers.call(call, record->peer_endpoint, SubmitRequest{std::move(envelope)}, timeout);
  return true;
}

void EntryHost::process_notifications(TimePoint now) {
  // Handling a notification can cause further ones, which the next round handles. The limit prevents an endless loop.
  constexpr int kMaxRounds = 64;
  for (int round = 0; round < kMaxRounds; ++round) {
    const auto notifications = m_groups.take_notifications(now);
    if (notifications.empty()) {
      return;
    }
    for (const auto& [group, notification] : notifications) {
      handle_notification(group, notification, now);
    }
  }
}

void EntryHost::handle_notification(const GroupId& group, const GroupNotification& notification, TimePoint now) {
  std::visit(Overloaded{
                 [&](const AskSuspicion& ask) { send_suspicion_queries(group, ask, now); },
                 [&](const ConfirmationDone& done) { m_requests.on_confirmation_done(group, done, now); },
                 [&](const PrimaryChanged& changed) {
                   const std::string primary = changed.primary.has_value() ? changed.primary->value() : "none";
                   m_context.counters.count("primary_changes_seen");
                   record_decision(group.value(),
                                   "primary_" + primary + "_term_" + std::to_string(changed.term.value()),
                                   changed.cause, now);
                   m_requests.on_primary_changed(group, now);
                 },
                 [&](const MemberWorkEnded& ended) { m_requests.on_work_ended(ended, now); },
             },
             notification);
}

void EntryHost::answer_caller(CallerRequestId id, const RequestEnvelope& envelope, RequestOutcome outcome,
                              TimePoint now) {
  const auto open = m_pending_requests.find(id);
  if (open == m_pending_requests.end()) {
    return;
  }
  const PendingRequest request = open->second;
  --m_in_flight[request.service];
  m_pending_requests.erase(open);
  m_latencies.record(now - request.arrived);
  if (!outcome.has_value()) {
    std::string token = m_tokens.encode(request.service, request.group, outcome.error().session);
    refuse_caller(id, std::move(outcome.error().refusal), envelope.request_id, std::move(token));
    return;
  }
  m_context.counters.count("requests_served");
  CallerAnswer answer;
  answer.results = std::move(outcome->results);
  answer.token = m_tokens.encode(request.service, request.group, outcome->session);
  answer.request_id = outcome->request_id;
  answer.served_by = outcome->served_by;
  answer.transaction = outcome->transaction;
  m_context.ports.callers.answer(id, std::move(answer));
}

void EntryHost::refuse_caller(CallerRequestId id, Refusal refusal, const RequestId& request_id, std::string token) {
  m_context.counters.count_refusal(refusal.reason, refusal.ran);
  m_context.ports.callers.answer(id, tl::unexpected(CallerRefusal{std::move(refusal), std::move(token), request_id}));
}

void EntryHost::send_suspicion_queries(const GroupId& group, const AskSuspicion& ask, TimePoint now) {
  SuspicionRound round;
  round.term = ask.term;
  std::vector<HostId> asked;
  for (const HostId& owner : m_groups.owners_of(group)) {
    if (owner != m_context.settings.self.host && m_hosts.find(owner) != nullptr) {
      asked.push_back(owner);
    }
  }
  round.asked = asked.size();
  m_suspicion_rounds[group] = round;
  if (asked.empty()) {
    if (GroupRuntime* runtime = m_groups.find(group)) {
      runtime->group().on_suspicion_replies(ask.term, 0, 0, Term(), now);
    }
    return;
  }
  for (const HostId& owner : asked) {
    call_peer(*m_hosts.find(owner), SuspicionQuery{group, ask.member, ask.term},
              m_context.settings.group_timings.suspicion_reply_timeout, SuspicionCall{group, ask.term, owner});
  }
}

void EntryHost::on_suspicion_reply(const SuspicionCall& call, const SuspicionReply* reply, TimePoint now) {
  const auto found = m_suspicion_rounds.find(call.group);
  if (found == m_suspicion_rounds.end() || found->second.term != call.term) {
    return;
  }
  SuspicionRound& round = found->second;
  ++round.returned;
  if (reply != nullptr && reply->monitored) {
    ++round.answered;
    round.suspecting += reply->suspected ? 1 : 0;
    round.highest_known = std::max(round.highest_known, reply->known_term);
  }
  if (round.returned < round.asked) {
    return;
  }
  if (GroupRuntime* runtime = m_groups.find(call.group)) {
    runtime->group().on_suspicion_replies(round.term, round.answered, round.suspecting, round.highest_known, now);
  }
  m_suspicion_rounds.erase(found);
}

void EntryHost::call_peer(const HostRecord& peer, PeerRequest request, Duration timeout, CallPurpose purpose) {
  const auto call = m_context.ids.next<PeerCallId>();
  m_peer_calls.add(call, std::move(purpose));
  m_context.ports.peers.call(call, peer.peer_endpoint, std::move(request), timeout);
}

void EntryHost::probe_hosts(TimePoint now) {
  const std::size_t working = m_hosts.working_hosts().size();
  for (const ProbeTarget& target : m_hosts.on_tick(now)) {
    if (const HostRecord* const record = m_hosts.find(target.host)) {
      send_probe(*record, m_context.settings.host_table_timings.probe_timeout);
    }
  }
  if (m_hosts.working_hosts().size() != working) {
    hosts_changed("a suspected host was declared dead", now);
  }
}

void EntryHost::send_probe(const HostRecord& target, Duration timeout) {
  std::vector<HostRecord> records = m_hosts.records_to_share();
  // The target also gets its own record, so that it can correct it.
  records.push_back(target);
  call_peer(target, Probe{m_hosts.self(), m_configuration_manager.current().version, std::move(records)}, timeout,
            ProbeCall{target.host});
}

void EntryHost::check_silent_hosts(TimePoint now) {
  for (const HostId& host : m_peer_calls.silent_hosts(now)) {
    const HostRecord* const record = m_hosts.find(host);
    const bool is_lost = record == nullptr || record->state == HostState::kSuspect || record->state == HostState::kDead;
    if (is_lost) {
      give_up_forwards(host, now);
    } else {
      send_probe(*record, kSilenceProbeTimeout);
    }
  }
}

void EntryHost::give_up_forwards(const HostId& host, TimePoint now) {
  for (const ExecutionId execution : m_peer_calls.take_forwards(host)) {
    m_context.counters.count("forwards_to_silent_hosts");
    m_requests.on_forward_answered(
        execution, host, tl::unexpected(PeerError{PeerErrorKind::kLost, true, "the host has stopped answering"}), now);
  }
}

void EntryHost::on_probe(PeerCallId call, const Probe& probe, TimePoint now) {
  if (m_hosts.merge(probe.sender, now)) {
    hosts_changed("probe from " + probe.sender.host.value(), now);
  }
  merge_records(probe.records, now);
  m_configuration_manager.on_peer_version(probe.sender.host, probe.configuration_version);
  m_context.ports.peers.answer(
      call, ProbeReply{m_hosts.self(), m_configuration_manager.current().version, m_hosts.records_to_share()});
}

void EntryHost::on_suspicion_query(PeerCallId call, const SuspicionQuery& query, TimePoint now) {
  SuspicionReply reply;
  if (const GroupRuntime* runtime = m_groups.find(query.group)) {
    reply.monitored = runtime->ownership().owner;
    reply.suspected = runtime->group().suspects(query.member, query.term, now);
    reply.known_term = runtime->group().highest_known_term();
  }
  m_context.ports.peers.answer(call, reply);
}

void EntryHost::on_configuration_fetch(PeerCallId call, const FetchConfiguration& fetch) {
  ConfigurationReply reply;
  reply.version = m_configuration_manager.current().version;
  if (m_configuration_manager.current().version > fetch.known) {
    reply.document = configuration_to_json(m_configuration_manager.current());
  }
  m_context.ports.peers.answer(call, std::move(reply));
}

void EntryHost::merge_records(const std::vector<HostRecord>& records, TimePoint now) {
  bool changed = false;
  for (const HostRecord& record : records) {
    changed = m_hosts.merge(record, now) || changed;
  }
  if (changed) {
    hosts_changed("another host reported changed host records", now);
  }
}

void EntryHost::hosts_changed(const std::string& cause, TimePoint now) {
  m_owners_changed = true;
  m_configuration_manager.on_hosts_changed(now);
  m_context.counters.count("host_table_changes");
  record_decision(m_context.settings.self.host.value(),
                  "hosts_working_" + std::to_string(m_hosts.working_hosts().size()), cause, now);
}

std::size_t EntryHost::open_work() const { return m_requests.open_requests() + m_requests.open_transactions(); }

void EntryHost::record_decision(std::string subject, std::string event, std::string cause, TimePoint now) {
  m_context.ports.log.log_state_change(event, {{"subject", subject}, {"cause", cause}});
  m_decisions.add({now, std::move(subject), std::move(event), std::move(cause)});
}

RequestId EntryHost::generate_request_id() {
  // Host, incarnation and number together are unique among all hosts, so no random part is needed.
  return RequestId(m_context.settings.self.host.value() + '.' +
                   std::to_string(m_context.settings.self.incarnation.value()) + '.' +
                   std::to_string(++m_last_request_number));
}

}  // namespace teaselrudder
