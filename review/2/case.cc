// Two callers prepare different statements under the same name and execute them. The shape of the second one contains a
// blank, unless TROUBLE=0.
#include <cstdio>
#include <cstdlib>
#include <string>

#include "review/stand_ins/hosts.h"

namespace teaselrudder::review {
namespace {

constexpr int kRounds = 20;
constexpr Milliseconds kReadyTimeout(20000);

/// What became of the second client's write.
struct Outcome {
  bool acknowledged = false;
  bool broken = false;
};

/// Lets two clients prepare and execute their statements; the second one prepares `shape`.
Outcome run_round(const std::string& number, const std::string& shape, const Host& host, Group& group, Record& record) {
  Client first(host.front(), "lepu270", record);
  Client second(host.front(), "lepu270", record);
  first.query("a" + number + "p", "PREPARE s1 WRITE q2c");
  first.query("a" + number + "x", "EXECUTE s1 room" + number + " ethylene-80");
  second.query("b" + number + "p", "PREPARE s1 WRITE " + shape);
  const std::string write = "b" + number + "x";
  const std::string item = "batch" + number;
  const Reply reply = second.query(write, "EXECUTE s1 " + item + " note-" + number);
  const std::string run = group.shape_run_for(write);
  if (!reply.is_success() || run == shape) {
    return {reply.is_success(), false};
  }
  record.line("BROKEN: the client of " + write + " prepared the shape '" + shape + "', the member ran '" + run +
              "'; item " + item + " holds '" + group.value_of(group.leader(), item) + "', item by_room holds '" +
              group.value_of(group.leader(), "by_room") + "'");
  return {true, true};
}

int run_case(const std::string& record_path, const std::string& folder) {
  // Threads use these objects until the process ends, so they are never destroyed.
  static Record record(record_path);
  static Store store;
  GroupSettings settings;
  settings.service = "huvo11a";
  static Network network;
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
  const Host host(folder, "host-a", "zone-a", store_port, cloud.port());
  if (!host.wait_until_ready(kReadyTimeout)) {
    record.line("the host does not become ready");
    return 2;
  }
  const std::string shape = is_calm() ? "q2c_by_room" : "q2c by_room";
  int served = 0;
  int broken = 0;
  for (int round = 0; round < kRounds; ++round) {
    const Outcome outcome = run_round(std::to_string(round), shape, host, group, record);
    served += outcome.acknowledged ? 1 : 0;
    broken += outcome.broken ? 1 : 0;
  }
  record.line(std::to_string(served) + " writes of the second caller acknowledged, " + std::to_string(broken) +
              " of them not run as they were prepared");
  std::printf("acknowledged %d, broken %d\n", served, broken);
  if (broken > 0) {
    return 1;
  }
  return is_calm() && served < kRounds ? 2 : 0;
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
