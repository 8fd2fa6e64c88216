// Sixteen callers send reads one after the other. One of the two hosts gets SIGTERM, unless TROUBLE=0.
#include <array>
#include <atomic>
#include <csignal>
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

constexpr std::size_t kSessions = 16;
constexpr Milliseconds kReadyTimeout(20000);
/// Time of a read at a member.
constexpr Milliseconds kWorkTime(26);
/// Pause of the first caller between two operations. Each further caller pauses a little longer, so that their
/// operations do not run in step.
constexpr Milliseconds kMinPause(25);
constexpr Milliseconds kPauseStep(2);
constexpr Milliseconds kRunTime(12000);
constexpr Milliseconds kSignalAt(4000);
constexpr Milliseconds kGrace(6000);
/// A request sent no later than this after SIGTERM is excused if its member is at work in the last sixth of the grace.
constexpr Milliseconds kExcusedUntil(3000);
/// Timeout of the route and deadline of the callers.
constexpr Milliseconds kTimeout(2000);

/// A request whose connection ended without a complete answer.
struct CutRequest {
  std::string id;
  Milliseconds sent_at;
  Milliseconds ended_at;
};

/// The callers' reads and what became of them.
class Load {
 public:
  Load(const Host& first, const Host& second, Record& record) : m_first(first), m_second(second), m_record(record) {}

  void run(std::size_t number, Milliseconds end) {
    auto client = std::make_unique<Client>(m_first.front(), "fiti832ti23", m_record);
    for (int count = 0; elapsed() < end; ++count) {
      if (!client->is_open()) {
        client = std::make_unique<Client>(m_second.front(), "fiti832ti23", m_record);
      }
      const std::string id = "s" + std::to_string(number) + "n" + std::to_string(count);
      const Milliseconds sent_at = elapsed();
      const Reply reply = client->query(id, "READ room7", kTimeout);
      ++m_sent;
      m_served += reply.is_success() ? 1 : 0;
      if (!reply.complete && !client->is_open() && elapsed() < sent_at + kTimeout) {
        const std::lock_guard lock(m_mutex);
        m_cut.push_back({id, sent_at, elapsed()});
      }
      sleep_for(kMinPause + kPauseStep * number);
    }
  }

  int sent() const { return m_sent; }
  int served() const { return m_served; }
  const std::vector<CutRequest>& cut() const { return m_cut; }

 private:
  const Host& m_first;
  const Host& m_second;
  Record& m_record;
  std::mutex m_mutex;
  std::vector<CutRequest> m_cut;
  std::atomic<int> m_sent = 0;
  std::atomic<int> m_served = 0;
};

/// Returns the number of cut requests that the rule does not excuse.
int judge(const Load& load, Group& group, Milliseconds signalled_at, Record& record) {
  int broken = 0;
  for (const CutRequest& request : load.cut()) {
    const Milliseconds after_signal = request.sent_at - signalled_at;
    const bool was_passed_on = group.has_reached(request.id);
    const bool is_excused = after_signal <= kExcusedUntil && request.ended_at - signalled_at >= kGrace * 5 / 6;
    const bool breaks_rule = was_passed_on && !is_excused;
    broken += breaks_rule ? 1 : 0;
    record.line((breaks_rule ? "BROKEN: " : "not counted: ") + request.id + " was sent " +
                std::to_string(after_signal.count()) + " ms after SIGTERM, " +
                (was_passed_on ? "was passed on to a member" : "reached no member") +
                ", and its connection ended without an answer " +
                std::to_string((request.ended_at - request.sent_at).count()) + " ms later");
  }
  return broken;
}

int run_case(const std::string& record_path, const std::string& folder) {
  // Threads use these objects until the process ends, so they are never destroyed.
  static Record record(record_path);
  static Store store;
  GroupSettings settings;
  settings.service = "huvo11a";
  settings.work_time = kWorkTime;
  settings.slots = 8;
  static Network network;
  static Group group(settings, store, network, record);
  static HttpServer cloud([](const HttpRequest& request) { return group.promote(request); });
  store.put("op/config", configuration(1, settings, {{"fiti832ti23", "bounded_staleness", 2000, 500, 1500}}));
  group.add_host("all", "zone-a");
  const std::uint16_t store_port = store.serve(
      [](const std::string& key, const std::string& value) {
        return key.starts_with("servers/") ? group.view_of("all", value) : value;
      },
      [] { return true; });
  group.start_heartbeats();
  Host stopping(folder, "host-a", "zone-a", store_port, cloud.port());
  const Host staying(folder, "host-b", "zone-a", store_port, cloud.port());
  if (!stopping.wait_until_ready(kReadyTimeout) || !staying.wait_until_ready(kReadyTimeout)) {
    record.line("a host does not become ready");
    return 2;
  }
  Load load(stopping, staying, record);
  const Milliseconds begin = elapsed();
  std::vector<std::thread> callers;
  for (std::size_t number = 0; number < kSessions; ++number) {
    callers.emplace_back([&load, number, begin] { load.run(number, begin + kRunTime); });
  }
  sleep_for(kSignalAt);
  const Milliseconds signalled_at = elapsed();
  if (!is_calm()) {
    record.line("SIGTERM to " + stopping.name());
    stopping.signal(SIGTERM);
  }
  while (elapsed() < signalled_at + kGrace && !stopping.has_ended()) {
    sleep_for(Milliseconds(5));
  }
  record.line(stopping.has_ended() ? stopping.name() + " has ended"
                                   : std::string(is_calm() ? "no signal was sent" : "grace is over, SIGKILL"));
  if (!is_calm()) {
    stopping.signal(SIGKILL);
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  const int broken = judge(load, group, signalled_at, record);
  record.line(std::to_string(load.sent()) + " requests sent, " + std::to_string(load.served()) + " served, " +
              std::to_string(broken) + " break the rule");
  std::printf("sent %d, served %d, broken %d\n", load.sent(), load.served(), broken);
  if (broken > 0) {
    return 1;
  }
  return load.served() == 0 ? 2 : 0;
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
