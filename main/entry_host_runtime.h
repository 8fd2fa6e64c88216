#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "drivers/event_loop/iteration_requesting_peer_events.h"
#include "drivers/postgres/postgres_upstreams.h"
#include "drivers/rpc/peer_rpc.h"
#include "main/host_event_relay.h"
#include "main/host_runtime.h"

namespace teaselrudder {

/// Runs an entry host in the daemon and connects it to PostgreSQL, the store and other hosts.
class EntryHostRuntime : public HostRuntime, private EventLogPort {
 public:
  explicit EntryHostRuntime(const DaemonServices& services);
  ~EntryHostRuntime() override;

  /// Loads the state charts, listens for other hosts, creates the entry host and starts its timers. The error message
  /// is a single line.
  tl::expected<void, std::string> start();

  CallerEvents& caller_events() override { return m_relay; }
  OperatorEvents& operator_events() override { return m_relay; }
  std::uint16_t peer_port() const override { return m_self.peer_endpoint.port; }
  std::string metrics() const override;
  void begin_stop(TimePoint now, std::function<void()> stopped) override;

 private:
  void log_state_change(std::string_view event, const LogFields& fields) override;

  tl::expected<HostCharts, std::string> load_charts() const;
  HostSettings make_host_settings() const;
  void create_store();
  void after_event();
  void on_wakeup();
  void probe_static_hosts();
  bool on_static_host_answered(PeerCallId call, const tl::expected<PeerResponse, PeerError>& outcome);

  DaemonServices m_services;
  HostRecord m_self;
  HostEventRelay m_relay;
  IterationRequestingPeerEvents m_peer_events;
  PostgresUpstreams m_upstreams;
  PeerRpc m_peers;
  std::unique_ptr<StorePort> m_store;
  HostListPort* m_host_list = nullptr;
  std::unique_ptr<EntryHost> m_host;
  std::function<void()> m_on_stopped;
  TimePoint m_next_static_probe;
  std::uint64_t m_last_static_call_id;
  std::map<PeerCallId, Endpoint> m_open_static_calls;
};

}  // namespace teaselrudder
