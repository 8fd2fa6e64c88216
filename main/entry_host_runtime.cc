#include "main/entry_host_runtime.h"

#include <algorithm>
#include <chrono>
#include <fstream>
#include <random>
#include <sstream>
#include <utility>

#include "drivers/store/etcd_store.h"
#include "drivers/store/null_store.h"
#include "main/logging.h"

namespace teaselrudder {

namespace {

// Time between two probes of the hosts in --static_hosts. They are probed repeatedly, because a host may restart or be
// replaced by another one at the same address.
constexpr Duration kStaticProbeInterval = std::chrono::seconds(5);
// First id for the calls of the runtime itself; the entry host does not use ids in this range.
constexpr std::uint64_t kFirstStaticCallId = std::uint64_t{0xFFFFFF} << 40U;

Incarnation choose_incarnation() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
  return Incarnation(static_cast<std::uint64_t>(milliseconds));
}

std::uint64_t choose_seed() {
  std::random_device device;
  return (std::uint64_t{device()} << 32U) | device();
}

/// Reads state charts from the files of a directory.
class DirectoryChartSource : public ChartSource {
 public:
  explicit DirectoryChartSource(std::string directory) : m_directory(std::move(directory)) {}

  std::string chart_text(std::string_view name) const override {
    std::ifstream file(m_directory + '/' + std::string(name) + ".scxml");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
  }

 private:
  std::string m_directory;
};

PostgresSettings make_postgres_settings(const Settings& settings) {
  PostgresSettings postgres;
  postgres.database = settings.database_name;
  postgres.user = settings.database_user;
  postgres.password = settings.database_password;
  return postgres;
}

PeerRpcSettings make_peer_settings() {
  PeerRpcSettings settings;
  settings.seed = choose_seed();
  return settings;
}

}  // namespace

EntryHostRuntime::EntryHostRuntime(const DaemonServices& services)
    : m_services(services),
      m_self{services.settings.host_id, services.settings.failure_domain, services.settings.peer, choose_incarnation(),
             HostState::kAlive},
      m_relay([this] { after_event(); }),
      m_peer_events(services.loop, m_relay),
      m_upstreams(services.loop.uv_loop(), make_postgres_settings(services.settings), services.clock, m_relay),
      m_peers(services.loop.async_io(), services.clock, make_peer_settings(), services.counters),
      m_last_static_call_id(kFirstStaticCallId) {
  m_peers.set_events(m_peer_events);
  m_relay.set_answer_filter([this](PeerCallId call, const tl::expected<PeerResponse, PeerError>& outcome) {
    return on_static_host_answered(call, outcome);
  });
}

EntryHostRuntime::~EntryHostRuntime() {
  m_services.loop.cancel_schedule();
  m_relay.set_host(nullptr);
}

tl::expected<void, std::string> EntryHostRuntime::start() {
  auto charts = load_charts();
  if (!charts.has_value()) {
    return tl::unexpected(charts.error());
  }
  const auto port = m_peers.listen(m_services.settings.peer);
  if (!port.has_value()) {
    return tl::unexpected(port.error());
  }
  m_self.peer_endpoint.port = *port;
  create_store();
  const TimePoint now = m_services.clock.now();
  const HostPorts ports{m_services.caller_port,   m_upstreams, m_peers, *m_store, *m_host_list,
                        m_services.operator_port, *this};
  m_host = std::make_unique<EntryHost>(make_host_settings(), ports, std::move(*charts), m_services.counters, now);
  m_relay.set_host(m_host.get());
  if (m_services.settings.configuration.has_value()) {
    m_host->adopt_configuration(*m_services.settings.configuration, "settings", now);
  }
  m_next_static_probe = now;
  on_wakeup();
  return {};
}

std::string EntryHostRuntime::metrics() const {
  std::ostringstream out;
  out << m_host->latencies().to_prometheus("request_duration");
  const auto gauge = [&out](const char* name, std::uint64_t value) {
    out << "# TYPE teaselrudder_" << name << " gauge\nteaselrudder_" << name << ' ' << value << '\n';
  };
  gauge("open_requests", m_host->requests().open_requests());
  gauge("open_transactions", m_host->requests().open_transactions());
  gauge("configuration_version", m_host->configuration().version.value());
  gauge("working_hosts", m_host->hosts().working_hosts().size());
  return out.str();
}

void EntryHostRuntime::begin_stop(TimePoint now, std::function<void()> stopped) {
  m_on_stopped = std::move(stopped);
  m_host->stop("signal", now);
  after_event();
}

void EntryHostRuntime::log_state_change(std::string_view event, const LogFields& fields) {
  teaselrudder::log_state_change(event, fields);
}

tl::expected<HostCharts, std::string> EntryHostRuntime::load_charts() const {
  if (m_services.settings.charts_dir.empty()) {
    return load_host_charts(CompiledChartSource());
  }
  return load_host_charts(DirectoryChartSource(m_services.settings.charts_dir));
}

HostSettings EntryHostRuntime::make_host_settings() const {
  const Settings& settings = m_services.settings;
  HostSettings host;
  host.self = m_self;
  host.token_key = settings.token_key;
  host.random_seed = choose_seed();
  host.group_timings.probe_interval = settings.probe_interval;
  host.group_timings.probe_timeout = settings.probe_timeout;
  host.group_timings.suspicion_timeout = settings.suspicion;
  host.store_prefix = settings.store_prefix;
  host.max_queue = static_cast<std::uint32_t>(settings.max_queue);
  host.replica_wait = settings.replica_wait;
  host.stop_timeout = settings.stop_timeout;
  host.stop_announcement = std::min(host.stop_announcement, settings.stop_timeout / 2);
  return host;
}

void EntryHostRuntime::create_store() {
  const Settings& settings = m_services.settings;
  if (settings.store_endpoints.empty()) {
    auto store = std::make_unique<NullStore>(m_services.loop.uv_loop(), m_services.clock, m_relay, m_relay);
    m_host_list = store.get();
    m_store = std::move(store);
    return;
  }
  EtcdStoreSettings store_settings;
  store_settings.endpoints = settings.store_endpoints;
  store_settings.prefix = settings.store_prefix;
  auto store =
      std::make_unique<EtcdStore>(m_services.loop.uv_loop(), m_services.clock, store_settings, m_services.counters);
  store->set_events(m_relay, m_relay);
  m_host_list = store.get();
  m_store = std::move(store);
}

void EntryHostRuntime::after_event() {
  // A host without a configuration knows no service and refuses all requests, so load balancers must not use it yet.
  const bool configured = m_host->configuration().version > ConfigurationVersion();
  m_services.set_healthy(configured && m_host->planned_stop().healthy());
  if (m_on_stopped && m_host->planned_stop().stopped()) {
    std::exchange(m_on_stopped, nullptr)();
  }
  m_services.loop.schedule(std::min(m_host->next_wakeup(), m_next_static_probe), [this] { on_wakeup(); });
  m_services.loop.request_uv_iteration();
}

void EntryHostRuntime::on_wakeup() {
  const TimePoint now = m_services.clock.now();
  if (now >= m_next_static_probe) {
    m_next_static_probe = now + kStaticProbeInterval;
    probe_static_hosts();
  }
  m_host->on_tick(now);
  after_event();
}

void EntryHostRuntime::probe_static_hosts() {
  for (const Endpoint& endpoint : m_services.settings.static_hosts) {
    const PeerCallId call(++m_last_static_call_id);
    m_open_static_calls.emplace(call, endpoint);
    m_peers.call(call, endpoint, Probe{m_host->hosts().self(), m_host->configuration().version, {}},
                 kStaticProbeInterval);
  }
}

bool EntryHostRuntime::on_static_host_answered(PeerCallId call, const tl::expected<PeerResponse, PeerError>& outcome) {
  if (m_open_static_calls.erase(call) == 0) {
    return false;
  }
  const auto* const reply = outcome.has_value() ? std::get_if<ProbeReply>(&*outcome) : nullptr;
  if (reply != nullptr && m_host != nullptr) {
    m_host->add_known_host(reply->responder, m_services.clock.now());
    after_event();
  }
  return true;
}

tl::expected<std::unique_ptr<HostRuntime>, std::string> make_host(const DaemonServices& services) {
  auto runtime = std::make_unique<EntryHostRuntime>(services);
  if (auto started = runtime->start(); !started.has_value()) {
    return tl::unexpected(started.error());
  }
  return runtime;
}

}  // namespace teaselrudder
