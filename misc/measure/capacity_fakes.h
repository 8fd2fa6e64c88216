#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "core/overloaded.h"
#include "drivers/postgres/member_sql.h"
#include "servers/host/entry_host.h"

namespace teaselrudder::measure {

/// Number of exchanges of one kind and their estimated bytes on the wire, in both directions together.
struct Traffic {
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
};

/// Estimates of message sizes in bytes. They include the headers of the protocol and the IPv4 and TCP headers of each
/// segment, but neither Ethernet framing nor connection setup.
namespace wire {

/// IPv4 header, TCP header and TCP timestamp option.
inline constexpr std::size_t kSegmentHeaderBytes = 20 + 20 + 12;
/// Headers of three segments: a request, its answer and a separate acknowledgement.
inline constexpr std::size_t kExchangeHeaderBytes = 3 * kSegmentHeaderBytes;
inline constexpr std::size_t kWordBytes = 8;

/// A Cap'n Proto text: the characters and a NUL, padded to whole words.
inline std::size_t text(std::size_t length) { return (length / kWordBytes + 1) * kWordBytes; }

/// A HostRecord in a list: 2 data words (incarnation; port and state), 3 pointers and 3 texts.
inline std::size_t host_record(const HostRecord& record) {
  return 5 * kWordBytes + text(record.host.value().size()) + text(record.failure_domain.value().size()) +
         text(record.peer_endpoint.ip.size());
}

inline std::size_t host_records(const std::vector<HostRecord>& records) {
  std::size_t bytes = kWordBytes;
  for (const HostRecord& record : records) {
    bytes += host_record(record);
  }
  return bytes;
}

/// RPC messages without parameters and results: framing, root pointer, Message, Call or Return with its Payload, and
/// the Finish message of the call.
inline constexpr std::size_t kRpcCallBytes = 96;
inline constexpr std::size_t kRpcReturnBytes = 56;
inline constexpr std::size_t kRpcFinishBytes = 40;
inline constexpr std::size_t kRpcExchangeBytes = kRpcCallBytes + kRpcReturnBytes + kRpcFinishBytes;

/// Headers of an HTTP request and its answer, and the JSON around the key and the value.
inline constexpr std::size_t kHttpExchangeBytes = 500;

/// Parse, Bind, Describe, Execute and Sync around the text of a statement without parameters.
inline std::size_t statement(std::string_view sql) { return (9 + sql.size()) + 15 + 7 + 10 + 5; }

/// ParseComplete, BindComplete, RowDescription, DataRow, CommandComplete and ReadyForQuery of member_status.
inline std::size_t member_status(const MemberStatus& status) {
  constexpr std::array<std::string_view, 7> kColumns = {"raised_term", "candidate",  "log_term", "received",
                                                        "replayed",    "is_primary", "history"};
  std::size_t bytes = 5 + 5 + 7 + 7 + 14 + 6;
  for (const std::string_view column : kColumns) {
    bytes += column.size() + 1 + 18 + 4;
  }
  const std::size_t numbers =
      std::to_string(status.raised_term.value()).size() + std::to_string(status.log_term.value()).size() +
      std::to_string(status.received.value()).size() + std::to_string(status.replayed.value()).size();
  return bytes + numbers + status.candidate.value().size() + 1 + status.history.to_string().size();
}

}  // namespace wire

/// Simulated environment of one host in virtual time: members that answer status requests, hosts that answer probes,
/// and the platform's list of hosts. Keeps little state, so that the measured heap is mainly that of the host.
class FakeEnvironment : public CallerPort,
                        public UpstreamPort,
                        public PeerPort,
                        public StorePort,
                        public HostListPort,
                        public OperatorPort,
                        public EventLogPort {
 public:
  /// `records` are all hosts; the first one is the measured host.
  explicit FakeEnvironment(std::vector<HostRecord> records) : m_records(std::move(records)) {
    m_status.raised_term = Term(7);
    m_status.candidate = HostId("entry-001.1.1234567890123456789");
    m_status.log_term = Term(7);
    m_status.received = LogPosition(123456789012);
    m_status.replayed = LogPosition(123456789012);
    m_status.history.append(Term(7), LogPosition(1234567890));
  }

  /// Sets the measured host, which must outlive every call of run_for().
  void attach(EntryHost& host) { m_host = &host; }

  /// Runs the host and its environment for `duration`.
  void run_for(Duration duration) {
    const TimePoint end = m_now + duration;
    while (true) {
      const TimePoint wakeup = std::max(m_now, m_host->next_wakeup());
      const bool event_first = !m_events.empty() && m_events.begin()->first <= wakeup;
      const TimePoint next = event_first ? m_events.begin()->first : wakeup;
      if (next > end) {
        break;
      }
      m_now = next;
      if (event_first) {
        auto event = m_events.extract(m_events.begin());
        event.mapped()();
      } else {
        m_host->on_tick(m_now);
      }
    }
    m_now = end;
  }

  /// Starts probes by other hosts, as frequent as those of the measured host.
  void start_incoming_probes() { schedule_incoming_probe(1, std::chrono::milliseconds(833)); }

  /// Makes the member on this port unresponsive from now on.
  void stop_answering_on_port(std::uint16_t port) { m_unresponsive_port = port; }

  TimePoint now() const { return m_now; }
  const std::map<std::string, Traffic>& traffic() const { return m_traffic; }
  void clear_traffic() { m_traffic.clear(); }

  void answer(CallerRequestId /*request*/, tl::expected<CallerAnswer, CallerRefusal> outcome) override {
    ++(outcome.has_value() ? m_answers : m_refusals);
  }
  std::uint64_t refusals() const { return m_refusals; }

  void open_connection(ConnectionId connection, const Endpoint& upstream) override {
    m_ports[connection] = upstream.port;
    if (upstream.port == m_unresponsive_port) {
      return;
    }
    after(kLatency, [this, connection] { m_host->on_upstream_opened(connection, {}, m_now); });
  }
  void execute(ConnectionId connection, OperationId operation, UpstreamOperation details) override {
    const auto found = m_ports.find(connection);
    // The statements of callers are never answered, so that their requests stay open.
    if (found == m_ports.end() || !std::holds_alternative<ReportStatus>(details)) {
      return;
    }
    // The first member of each group, whose port is a multiple of 3, is its primary.
    MemberStatus status = m_status;
    status.is_primary = found->second % 3 == 0;
    count("status report",
          wire::statement(member_sql::kMemberStatus) + wire::member_status(status) + wire::kExchangeHeaderBytes);
    if (found->second == m_unresponsive_port) {
      return;
    }
    after(kLatency, [this, connection, operation, status = std::move(status)] {
      m_host->on_upstream_completed(connection, operation, UpstreamResult(StatusResult{status}), m_now);
    });
  }
  void close_connection(ConnectionId connection) override { m_ports.erase(connection); }

  void call(PeerCallId call, const Endpoint& peer, PeerRequest request, Duration /*timeout*/) override {
    if (const auto* const probe = std::get_if<Probe>(&request)) {
      ProbeReply reply{m_records.at(peer.port), probe->configuration_version, shared_records()};
      count("host probe sent", wire::kRpcExchangeBytes + wire::kExchangeHeaderBytes + 4 * wire::kWordBytes +
                                   wire::host_record(probe->sender) + wire::host_records(probe->records) +
                                   wire::host_record(reply.responder) + wire::host_records(reply.records));
      after(kLatency,
            [this, call, reply = std::move(reply)] { m_host->on_peer_answered(call, PeerResponse(reply), m_now); });
    } else if (const auto* const query = std::get_if<SuspicionQuery>(&request)) {
      count("suspicion query", wire::kRpcExchangeBytes + wire::kExchangeHeaderBytes + 3 * wire::kWordBytes +
                                   2 * wire::kWordBytes + wire::text(query->group.value().size()) +
                                   wire::text(query->member.value().size()));
      after(kLatency, [this, call] {
        m_host->on_peer_answered(call, PeerResponse(SuspicionReply{true, false, Term(7)}), m_now);
      });
    }
  }
  void answer(PeerCallId /*call*/, PeerResponse response) override {
    if (const auto* const reply = std::get_if<ProbeReply>(&response)) {
      count("host probe received", wire::kRpcExchangeBytes + wire::kExchangeHeaderBytes + 4 * wire::kWordBytes +
                                       2 * wire::host_record(reply->responder) +
                                       2 * wire::host_records(reply->records));
    }
  }

  void get(StoreCallId /*call*/, const std::string& /*key*/) override {}
  void compare_and_swap(StoreCallId /*call*/, const std::string& /*key*/, StoreRevision /*expected*/,
                        const std::string& /*value*/) override {}
  void watch(WatchId /*watch*/, const std::string& /*key*/, StoreRevision /*from*/) override {}
  void cancel_watch(WatchId /*watch*/) override {}

  void fetch_host_list() override {
    // A JSON array of records with field names, base64-encoded in the store's HTTP API.
    std::size_t document = 2;
    for (const HostRecord& record : m_records) {
      document +=
          90 + record.host.value().size() + record.failure_domain.value().size() + record.peer_endpoint.ip.size();
    }
    const std::size_t bytes = wire::kExchangeHeaderBytes + wire::kHttpExchangeBytes + document * 4 / 3;
    count("platform list", bytes);
    after(kLatency, [this] { m_host->on_host_list(m_records, m_now); });
  }

  void answer(OperatorRequestId /*request*/, OperatorAnswer /*answer*/) override {}
  void log_state_change(std::string_view /*event*/, const LogFields& /*fields*/) override {}

 private:
  static constexpr Duration kLatency = std::chrono::milliseconds(1);

  void after(Duration delay, std::function<void()> event) { m_events.emplace(m_now + delay, std::move(event)); }

  void count(const std::string& kind, std::size_t bytes) {
    Traffic& traffic = m_traffic[kind];
    ++traffic.messages;
    traffic.bytes += bytes;
  }

  std::vector<HostRecord> shared_records() {
    std::vector<HostRecord> records;
    const std::size_t wanted = std::min(m_records.size(), HostTable::kMaxSharedRecords);
    for (std::size_t index = 0; index < wanted; ++index) {
      m_shared = (m_shared + 1) % m_records.size();
      records.push_back(m_records[m_shared]);
    }
    return records;
  }

  void schedule_incoming_probe(std::size_t sender, Duration interval) {
    after(interval, [this, sender, interval] {
      Probe probe{m_records.at(sender), m_host->configuration().version, shared_records()};
      m_host->on_peer_request(PeerCallId(++m_last_incoming), std::move(probe), m_now);
      schedule_incoming_probe(1 + sender % (m_records.size() - 1), interval);
    });
  }

  std::vector<HostRecord> m_records;
  MemberStatus m_status;
  EntryHost* m_host = nullptr;
  TimePoint m_now{std::chrono::hours(1)};
  std::multimap<TimePoint, std::function<void()>> m_events;
  std::map<ConnectionId, std::uint16_t> m_ports;
  std::map<std::string, Traffic> m_traffic;
  std::uint64_t m_last_incoming = 0;
  std::uint64_t m_answers = 0;
  std::uint64_t m_refusals = 0;
  std::size_t m_shared = 0;
  std::uint16_t m_unresponsive_port = 0;
};

}  // namespace teaselrudder::measure
