// Three zones with one host each. The members of the group are replaced one after the other, and the host in zone-a
// promotes the new member there. Then zone-a is cut off, unless TROUBLE=0. Callers write in zone-a and read in the
// others.
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
constexpr Milliseconds kPause(25);
/// Time between the steps of the replacement of the members.
constexpr Milliseconds kReleaseStep(1000);
constexpr Milliseconds kPromotionTimeout(10000);
constexpr Milliseconds kCutTime(5500);
/// Objects of the members in the order of GroupSettings::members.
constexpr std::size_t kOldB = 0;
constexpr std::size_t kOldA = 1;
constexpr std::size_t kNewA = 3;
constexpr std::size_t kNewB = 4;

/// A request that was answered with success.
struct Success {
  std::string id;
  Milliseconds sent_at;
  Milliseconds answered_at;
};

/// Callers that send one statement after the other.
class Load {
 public:
  explicit Load(Record& record) : m_record(record) {}

  void start(const Host& host, const std::string& name, const std::string& text, std::vector<Success>& successes) {
    m_callers.emplace_back([this, &host, name, text, &successes] { run(host, name, text, successes); });
  }

  void stop() {
    m_stopping = true;
    for (std::thread& caller : m_callers) {
      caller.join();
    }
  }

 private:
  void run(const Host& host, const std::string& name, const std::string& text, std::vector<Success>& successes) {
    std::unique_ptr<Client> client;
    for (int count = 0; !m_stopping; ++count) {
      if (client == nullptr || !client->is_open()) {
        client = std::make_unique<Client>(host.front(), "lepu270", m_record);
      }
      const std::string id = name + std::to_string(count);
      const Milliseconds sent_at = elapsed();
      if (client->query(id, text).is_success()) {
        const std::lock_guard lock(m_mutex);
        successes.push_back({id, sent_at, elapsed()});
      }
      sleep_for(kPause);
    }
  }

  Record& m_record;
  std::atomic<bool> m_stopping = false;
  std::mutex m_mutex;
  std::vector<std::thread> m_callers;
};

/// The hosts and the paths between them.
class Fleet {
 public:
  Fleet(const std::string& folder, std::uint16_t cloud, Store& store, Group& group, Network& network)
      : m_folder(folder), m_cloud(cloud), m_store(store), m_group(group), m_network(network) {}

  const Host& start(const std::string& name, const std::string& zone) {
    m_group.add_host(name, zone);
    const std::uint16_t store =
        m_store.serve([this, name](const std::string& key, const std::string& value) { return view(name, key, value); },
                      [this, zone] { return m_network.connects(zone, kPlatformZone); });
    const std::lock_guard lock(m_mutex);
    m_zones[name] = zone;
    m_hosts[name] = std::make_unique<Host>(m_folder, name, zone, store, m_cloud);
    return *m_hosts[name];
  }

  void kill_all() { m_hosts.clear(); }

 private:
  /// Returns what `viewer` reads: addresses of members and of other hosts' ports lead over the path from it.
  std::string view(const std::string& viewer, const std::string& key, const std::string& value) {
    if (key.starts_with("servers/")) {
      return m_group.view_of(viewer, value);
    }
    if (!key.starts_with("hosts/") || key == "hosts/" + viewer) {
      return value;
    }
    const std::lock_guard lock(m_mutex);
    const std::string target = key.substr(std::string("hosts/").size());
    const auto host = m_hosts.find(target);
    if (host == m_hosts.end()) {
      return value;
    }
    auto& relay = m_relays[viewer + " " + target];
    if (relay == nullptr) {
      relay = std::make_unique<DatagramRelay>(
          host->second->peers(),
          [this, from = m_zones[viewer], to = m_zones[target]] { return m_network.connects(from, to); });
    }
    const std::string port = std::to_string(host->second->peers());
    std::string changed = value;
    const std::size_t found = changed.find(port);
    return found == std::string::npos ? value : changed.replace(found, port.size(), std::to_string(relay->port()));
  }

  std::string m_folder;
  std::uint16_t m_cloud;
  Store& m_store;
  Group& m_group;
  Network& m_network;
  std::mutex m_mutex;
  std::map<std::string, std::string> m_zones;
  std::map<std::string, std::unique_ptr<Host>> m_hosts;
  std::map<std::string, std::unique_ptr<DatagramRelay>> m_relays;
};

/// Returns the number of reads that ran on a log without a commit which had been acknowledged before they were sent.
int judge(const std::vector<Success>& writes, const std::vector<Success>& reads, Group& group, Record& record) {
  int broken = 0;
  const std::size_t leader = group.leader();
  for (const Success& read : reads) {
    const auto ran = group.read_position(read.id);
    if (!ran.has_value()) {
      continue;
    }
    const Success* missing = nullptr;
    for (const Success& write : writes) {
      const auto position = group.commit_position(write.id);
      if (write.answered_at < read.sent_at && position.has_value() && *position > ran->first &&
          group.holds(leader, write.id)) {
        missing = &write;
      }
    }
    if (missing == nullptr) {
      continue;
    }
    ++broken;
    record.line("BROKEN: read " + read.id + ", sent at " + std::to_string(read.sent_at.count()) + " ms, ran at " +
                ran->second + ", whose log stood at " + to_text(ran->first) + " and lacked " + missing->id + " (" +
                to_text(*group.commit_position(missing->id)) + ", acknowledged at " +
                std::to_string(missing->answered_at.count()) + " ms)");
  }
  return broken;
}

/// Replaces the members in zone-a and zone-b. Returns true when the new member in zone-a leads.
bool replace_members(Group& group) {
  group.restart(kNewA);
  sleep_for(kReleaseStep);
  group.drain(kOldA);
  sleep_for(kReleaseStep);
  group.restart(kNewB);
  sleep_for(kReleaseStep);
  group.drain(kOldB);
  const Milliseconds end = elapsed() + kPromotionTimeout;
  while (group.leader() == kOldB && elapsed() < end) {
    sleep_for(Milliseconds(5));
  }
  return group.leader() == kNewA;
}

int run_case(const std::string& record_path, const std::string& folder) {
  // Threads use these objects until the process ends, so they are never destroyed.
  static Record record(record_path);
  static Store store;
  static Network network;
  GroupSettings settings;
  settings.service = "huvo11a";
  settings.members = {{"i-5", "zone-b"}, {"i-4", "zone-a"}, {"i-3", "zone-c"}, {"i-1", "zone-a"}, {"i-2", "zone-b"}};
  static Group group(settings, store, network, record);
  static HttpServer cloud([](const HttpRequest& request) { return group.promote(request); });
  store.put("op/config", configuration(1, settings, {{"lepu270", "primary"}}));
  group.crash(kNewA);
  group.crash(kNewB);
  static Fleet fleet(folder, cloud.port(), store, group, network);
  const Host& host_a = fleet.start("host-a", "zone-a");
  group.start_heartbeats();
  const bool holds_duty = host_a.wait_for_metric("teaselrudder_holds_failover_duty 1", kReadyTimeout);
  const Host& host_b = fleet.start("host-b", "zone-b");
  const Host& host_c = fleet.start("host-c", "zone-c");
  if (!holds_duty || !host_b.wait_until_ready(kReadyTimeout) || !host_c.wait_until_ready(kReadyTimeout)) {
    record.line("the hosts do not become ready");
    return 2;
  }
  static Load load(record);
  static std::vector<Success> writes;
  static std::vector<Success> reads;
  load.start(host_a, "w", "WRITE room7 ethylene-80", writes);
  load.start(host_b, "rb", "READ room7", reads);
  load.start(host_c, "rc", "READ room7", reads);
  sleep_for(kReleaseStep);
  const bool promoted = replace_members(group);
  if (!is_calm()) {
    record.line("zone-a is cut off");
    network.cut("zone-a");
  }
  sleep_for(kCutTime);
  network.heal();
  record.line("zone-a is connected");
  load.stop();
  const int broken = judge(writes, reads, group, record);
  record.line(std::to_string(writes.size()) + " writes acknowledged, " + std::to_string(reads.size()) +
              " reads served, " + std::to_string(broken) + " of them break the rule");
  std::printf("writes %zu, reads %zu, broken %d\n", writes.size(), reads.size(), broken);
  fleet.kill_all();
  if (broken > 0) {
    return 1;
  }
  return promoted && !writes.empty() && !reads.empty() ? 0 : 2;
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
