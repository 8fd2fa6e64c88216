#include "review/stand_ins/hosts.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <fstream>

namespace teaselrudder::review {

namespace {

constexpr const char* kProgram = "target/teaselrudder-platform";
constexpr Milliseconds kStartupTimeout(2000);

std::string settings_text(const std::string& name, const std::string& zone, std::uint16_t front, std::uint16_t ready,
                          std::uint16_t peers, std::uint16_t store, std::uint16_t cloud) {
  const auto local = [](std::uint16_t port) { return "\"127.0.0.1:" + std::to_string(port) + "\"\n"; };
  return "node: \"" + name + "\"\nrole: \"front\"\nclass: \"front\"\nserves: [\"front\"]\nip: \"127.0.0.1\"\n" +
         "zone: \"" + zone + "\"\nregion: \"region-a\"\nzones: {" + zone +
         ": \"region-a\"}\nlisten:\n  front: " + local(front) + "  ready: " + local(ready) + "port_range: [" +
         std::to_string(peers) + ", " + std::to_string(peers) + "]\n" +
         "bootstrap: true\nlimits: {cpu_share: 0.25, cores: 1, memory_mb: 260, max_fds: 4300}\nheartbeat_ms: 1200\n" +
         "bounds: {stability_window_ms: 4000, drain_ms: 7000, grace_s: 6, loss_slack_ms: 200, config_apply_ms: 3000, " +
         "require_fence: true}\nplatform:\n  addr: " + local(store) +
         "  ttl_min_ms: 1000\ncloud:\n  addr: " + local(cloud);
}

}  // namespace

std::string configuration(int version, const GroupSettings& group, const std::vector<RouteSettings>& routes) {
  nlohmann::json table = {{"version", version},
                          {"routes", nlohmann::json::array()},
                          {"services", nlohmann::json::array()},
                          {"limits", {{"tx_idle_ms", 10000}}}};
  for (const RouteSettings& route : routes) {
    table["routes"].push_back({{"name", "r-" + route.database},
                               {"host", route.database},
                               {"prefix", "/"},
                               {"kind", route.kind},
                               {"timeout_ms", route.timeout_ms},
                               {"slo_ms", route.objective_ms},
                               {"priority", 1},
                               {"service", group.service},
                               {"max_attempts", 2},
                               {"max_staleness_ms", route.max_staleness_ms}});
  }
  table["services"].push_back({{"name", group.service},
                               {"health_path", "/health"},
                               {"max_conns", group.max_connections},
                               {"protocol", "wire"},
                               {"sync_replicas", 1}});
  return table.dump();
}

Host::Host(const std::string& folder, const std::string& name, const std::string& zone, std::uint16_t store,
           std::uint16_t cloud)
    : m_name(name), m_front(free_port()), m_ready(free_port()), m_peers(free_port()) {
  const std::string path = folder + "/" + name;
  std::ofstream(path + ".yaml") << settings_text(name, zone, m_front, m_ready, m_peers, store, cloud);
  m_process = ::fork();
  if (m_process != 0) {
    return;
  }
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int output = ::open((path + ".log").c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
  ::dup2(output, STDOUT_FILENO);
  ::dup2(output, STDERR_FILENO);
  ::setenv("TEASELRUDDER_SETTINGS", (path + ".yaml").c_str(), 1);
  ::execl(kProgram, kProgram, nullptr);
  std::_Exit(127);
}

Host::~Host() {
  if (!has_ended()) {
    signal(SIGKILL);
    ::waitpid(m_process, nullptr, 0);
  }
}

void Host::signal(int number) const {
  if (m_process > 0) {
    ::kill(m_process, number);
  }
}

bool Host::has_ended() {
  if (m_process > 0 && ::waitpid(m_process, nullptr, WNOHANG) == m_process) {
    m_process = -1;
  }
  return m_process <= 0;
}

bool Host::wait_until_ready(Milliseconds timeout) const {
  for (const Milliseconds end = elapsed() + timeout; elapsed() < end; sleep_for(Milliseconds(50))) {
    if (get_status(m_ready, "/readiness") == 200) {
      return true;
    }
  }
  return false;
}

bool Host::wait_for_metric(const std::string& line, Milliseconds timeout) const {
  for (const Milliseconds end = elapsed() + timeout; elapsed() < end; sleep_for(Milliseconds(50))) {
    Connection connection(connect_to(m_ready));
    connection.send("GET /metrics HTTP/1.1\r\nHost: host\r\nConnection: close\r\n\r\n");
    for (auto text = connection.read_line(kStartupTimeout); text.has_value();
         text = connection.read_line(Milliseconds(200))) {
      if (*text == line) {
        return true;
      }
    }
  }
  return false;
}

Client::Client(std::uint16_t port, const std::string& database, Record& record)
    : m_record(record), m_connection(connect_to(port)) {
  m_connection.send("STARTUP " + database + " reviewer\r\n");
  const auto line = m_connection.read_line(kStartupTimeout);
  m_open = line.has_value() && line->starts_with("READY");
}

Reply Client::query(const std::string& id, const std::string& text, Milliseconds deadline) {
  const Milliseconds until = elapsed() + deadline;
  m_record.line("client sends " + id + " " + text);
  m_connection.send("QUERY " + id + " " + text + "\r\n");
  Reply reply;
  while (!reply.complete) {
    const auto line = m_connection.read_line(until - elapsed());
    if (!line.has_value()) {
      break;
    }
    const std::size_t blank = line->find(' ');
    const std::string word = line->substr(0, blank);
    const std::string rest = blank == std::string::npos ? std::string() : line->substr(blank + 1);
    if (word == "ROW") {
      reply.rows.push_back(rest);
    } else if (word == "COMPLETE") {
      reply.signature = rest;
    } else if (word == "ERROR") {
      reply.error = rest.substr(0, rest.find(' '));
    } else if (word == "READY") {
      reply.state = rest.substr(0, 1);
      reply.complete = true;
    }
  }
  m_open = !m_connection.has_ended() && reply.complete;
  m_record.line("client gets for " + id + ": " +
                (reply.is_success()         ? "success, signature " + reply.signature
                 : reply.complete           ? "error " + reply.error
                 : m_connection.has_ended() ? "no complete answer, the connection has ended"
                                            : "no answer until its deadline"));
  return reply;
}

bool is_calm() {
  const char* const trouble = std::getenv("TROUBLE");
  return trouble != nullptr && std::string(trouble) == "0";
}

}  // namespace teaselrudder::review
