// Three hosts write to a group. Its primary is silent for a short time, and one of its replicas is restarted meanwhile,
// unless TROUBLE=0.
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "review/stand_ins/hosts.h"

namespace teaselrudder::review {
namespace {

constexpr Milliseconds kReadyTimeout(20000);
constexpr Milliseconds kPause(10);
constexpr Milliseconds kCalmTime(2000);
/// Times after the begin of the primary's silence.
constexpr Milliseconds kReplicaCrashesAt(1080);
constexpr Milliseconds kReplicaIsBackAt(1200);
constexpr Milliseconds kPrimaryIsBackAt(1240);
constexpr Milliseconds kEndAt(6000);
constexpr std::size_t kCallersPerHost = 4;
constexpr std::size_t kPrimary = 0;
constexpr std::size_t kRestartedReplica = 2;

/// Callers that write one item after the other.
class Load {
 public:
  explicit Load(Record& record) : m_record(record) {}

  void start(const Host& host, const std::string& name) {
    m_callers.emplace_back([this, &host, name] { run(host, name); });
  }

  void stop() {
    m_stopping = true;
    for (std::thread& caller : m_callers) {
      caller.join();
    }
  }

  /// Ids of the writes that were acknowledged.
  const std::vector<std::string>& acknowledged() const { return m_acknowledged; }

 private:
  void run(const Host& host, const std::string& name) {
    std::unique_ptr<Client> client;
    for (int count = 0; !m_stopping; ++count) {
      if (client == nullptr || !client->is_open()) {
        client = std::make_unique<Client>(host.front(), "lepu270", m_record);
      }
      const std::string id = name + std::to_string(count);
      if (client->query(id, "WRITE " + id + " ethylene-80").is_success()) {
        const std::lock_guard lock(m_mutex);
        m_acknowledged.push_back(id);
      }
      sleep_for(kPause);
    }
  }

  Record& m_record;
  std::atomic<bool> m_stopping = false;
  std::mutex m_mutex;
  std::vector<std::string> m_acknowledged;
  std::vector<std::thread> m_callers;
};

void disturb(Group& group) {
  group.set_frozen(kPrimary, true);
  sleep_for(kReplicaCrashesAt);
  group.crash(kRestartedReplica);
  sleep_for(kReplicaIsBackAt - kReplicaCrashesAt);
  group.restart(kRestartedReplica);
  sleep_for(kPrimaryIsBackAt - kReplicaIsBackAt);
  group.set_frozen(kPrimary, false);
}

/// Returns the number of acknowledged writes that the log of the present primary lacks.
int judge(const Load& load, Group& group, Record& record) {
  int broken = 0;
  const std::size_t leader = group.leader();
  for (const std::string& id : load.acknowledged()) {
    if (group.holds(leader, id)) {
      continue;
    }
    ++broken;
    const auto position = group.commit_position(id);
    record.line("BROKEN: write " + id + ", commit " + (position.has_value() ? to_text(*position) : "none") +
                ", was acknowledged and is not in the log of the promoted member " + group.member_id(leader));
  }
  return broken;
}

int run_case(const std::string& record_path, const std::string& folder) {
  // Threads use these objects until the process ends, so they are never destroyed.
  static Record record(record_path);
  static Store store;
  static Network network;
  GroupSettings settings;
  settings.service = "huvo11a";
  static Group group(settings, store, network, record);
  static HttpServer cloud([](const HttpRequest& request) { return group.promote(request); });
  store.put("op/config", configuration(1, settings, {{"lepu270", "primary"}}));
  group.add_host("all", "zone-a");
  const std::uint16_t store_port = store.serve(
      [](const std::string& key, const std::string& value) {
        return key.starts_with("servers/") ? group.view_of("all", value) : value;
      },
      [] { return true; });
  group.start_heartbeats();
  static Load load(record);
  std::vector<std::unique_ptr<Host>> hosts;
  for (const std::string name : {"host-a", "host-b", "host-c"}) {
    hosts.push_back(std::make_unique<Host>(folder, name, "zone-a", store_port, cloud.port()));
  }
  for (const auto& host : hosts) {
    if (!host->wait_until_ready(kReadyTimeout)) {
      record.line("a host does not become ready");
      return 2;
    }
  }
  for (const auto& host : hosts) {
    for (std::size_t caller = 0; caller < kCallersPerHost; ++caller) {
      load.start(*host, host->name() + "-" + std::to_string(caller) + "-");
    }
  }
  sleep_for(kCalmTime);
  const Milliseconds begin = elapsed();
  if (!is_calm()) {
    disturb(group);
  }
  sleep_for(begin + kEndAt - elapsed());
  load.stop();
  const int broken = judge(load, group, record);
  record.line(std::to_string(load.acknowledged().size()) + " writes acknowledged, " + std::to_string(broken) +
              " of them lost");
  std::printf("acknowledged %zu, lost %d\n", load.acknowledged().size(), broken);
  if (broken > 0) {
    return 1;
  }
  return load.acknowledged().empty() ? 2 : 0;
}

}  // namespace
}  // namespace teaselrudder::review

/// Runs the case. The arguments are the path of the record and a folder for temporary files. Exits with 1 if the rule
/// was broken, 0 if it held, and 2 if the case could not run.
int main(int argc, char** argv) {
  const int verdict = argc == 3 ? teaselrudder::review::run_case(argv[1], argv[2]) : 2;
  std::fflush(stdout);
  // The threads of the stand-ins still run, so destructors of static objects are skipped.
  std::_Exit(verdict);
}
