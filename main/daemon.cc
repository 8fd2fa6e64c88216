#include "main/daemon.h"

#include <algorithm>
#include <csignal>
#include <utility>

#include "main/logging.h"

namespace teaselrudder {

namespace {

/// Time for which a stopped host still accepts requests on idle connections, in milliseconds. It answers them with a
/// refusal and `connection: close`. Otherwise a request that a load balancer sent before it noticed the stop would fail
/// on a closed connection.
constexpr std::uint64_t kIdleCloseDelayMs = 1000;

}  // namespace

Daemon::Daemon(Settings settings)
    : m_settings(std::move(settings)),
      m_loop(m_clock),
      m_caller_server(m_loop, m_clock, m_counters, m_settings.max_body_bytes,
                      [this] { return m_counters.to_prometheus() + m_host->metrics(); }),
      m_operator_server(m_loop, m_clock, m_counters,
                        [this] { return m_counters.to_prometheus() + m_host->metrics(); }) {
  // Without SIGPIPE, a write to a connection that the other side closed returns an error.
  std::signal(SIGPIPE, SIG_IGN);
  watch_signal(m_sigterm_handle, SIGTERM);
  watch_signal(m_sigint_handle, SIGINT);
  for (uv_timer_t* timer : {&m_stop_timer, &m_idle_close_timer}) {
    uv_timer_init(m_loop.uv_loop(), timer);
    timer->data = this;
  }
}

Daemon::~Daemon() {
  // The servers are shut down first, so that no event reaches the host while it is being destroyed.
  m_caller_server.http().shut_down();
  m_operator_server.http().shut_down();
  m_host.reset();
  close_handles();
}

void Daemon::close_handles() {
  for (uv_signal_t* handle : {&m_sigterm_handle, &m_sigint_handle}) {
    uv_close(reinterpret_cast<uv_handle_t*>(handle), nullptr);
  }
  for (uv_timer_t* timer : {&m_stop_timer, &m_idle_close_timer}) {
    uv_close(reinterpret_cast<uv_handle_t*>(timer), nullptr);
  }
}

void Daemon::watch_signal(uv_signal_t& handle, int signal_number) {
  uv_signal_init(m_loop.uv_loop(), &handle);
  handle.data = this;
  uv_signal_start(
      &handle, [](uv_signal_t* signal, int received) { static_cast<Daemon*>(signal->data)->on_signal(received); },
      signal_number);
}

tl::expected<void, std::string> Daemon::start(const HostFactory& factory, std::ostream& out) {
  auto host = factory({m_settings, m_loop, m_clock, m_counters, m_caller_server, m_operator_server,
                       [this](bool healthy) { m_caller_server.set_healthy(healthy && !m_stopping); }});
  if (!host) {
    return tl::unexpected(host.error());
  }
  m_host = std::move(*host);
  if (auto listening = m_caller_server.listen(m_settings.caller, m_host->caller_events()); !listening) {
    return listening;
  }
  if (auto listening = m_operator_server.listen(m_settings.operators, m_host->operator_events()); !listening) {
    return listening;
  }
  out << "ready caller=" << m_caller_server.http().port() << " peer=" << m_host->peer_port()
      << " operator=" << m_operator_server.http().port() << std::endl;
  log_state_change("started", {{"host", m_settings.host_id.value()},
                               {"failure_domain", m_settings.failure_domain.value()},
                               {"caller_port", std::to_string(m_caller_server.http().port())}});
  return {};
}

bool Daemon::run() {
  m_loop.run();
  return m_graceful;
}

void Daemon::on_signal(int signal_number) {
  if (m_stopping) {
    finish(false, "second signal");
    return;
  }
  begin_stop(signal_number);
}

void Daemon::begin_stop(int signal_number) {
  m_stopping = true;
  log_state_change("stop_begins", {{"signal", std::to_string(signal_number)}});
  m_caller_server.set_healthy(false);
  uv_timer_start(
      &m_stop_timer, [](uv_timer_t* timer) { static_cast<Daemon*>(timer->data)->finish(false, "stop timeout"); },
      static_cast<std::uint64_t>(to_milliseconds(m_settings.stop_timeout)), 0);
  m_host->begin_stop(m_clock.now(), [this] { on_host_stopped(); });
}

void Daemon::on_host_stopped() {
  log_state_change("host_stopped", {{"open_requests", std::to_string(m_caller_server.http().open_requests())}});
  m_caller_server.http().begin_stop([this] { on_server_drained(); });
  m_operator_server.http().begin_stop([this] { on_server_drained(); });
  const auto close_idle = [](uv_timer_t* timer) {
    auto* daemon = static_cast<Daemon*>(timer->data);
    daemon->m_caller_server.http().close_idle_connections();
    daemon->m_operator_server.http().close_idle_connections();
  };
  uv_timer_start(&m_idle_close_timer, close_idle, kIdleCloseDelayMs, 0);
  m_loop.request_uv_iteration();
}

void Daemon::on_server_drained() {
  --m_undrained_servers;
  if (m_undrained_servers == 0) {
    finish(true, "drained");
  }
}

void Daemon::finish(bool graceful, const std::string& cause) {
  m_graceful = graceful;
  log_state_change("stopped", {{"graceful", graceful ? "yes" : "no"}, {"cause", cause}});
  m_loop.stop();
}

int run_daemon(const std::vector<std::string>& arguments, const Environment& environment, const HostFactory& factory,
               std::ostream& out, std::ostream& err) {
  if (std::find(arguments.begin(), arguments.end(), "--help") != arguments.end()) {
    out << "teaselrudderd --flag=value ...\n"
        << "Each flag can also be set by the environment variable TEASELRUDDER_<FLAG>.\n"
        << settings_usage();
    return kExitDone;
  }
  auto settings = read_settings(arguments, environment);
  if (!settings) {
    err << "teaselrudderd: " << settings.error() << std::endl;
    return kExitBadSettings;
  }
  setup_logging(settings->log_level);
  Daemon daemon(std::move(*settings));
  if (const auto started = daemon.start(factory, out); !started) {
    log_error("start_failed", {{"cause", started.error()}});
    return kExitFailed;
  }
  return daemon.run() ? kExitDone : kExitFailed;
}

}  // namespace teaselrudder
