// Measures under virtual time how long session hosts serve no write after the loss of a primary.
#include <gflags/gflags.h>

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

#include "tests/model/session_world.h"

DEFINE_uint64(seed, 1, "seed of the first run; each further run uses the next one");
DEFINE_uint32(runs, 100, "number of runs of each variant");
DEFINE_uint32(hosts, 6, "number of hosts");

namespace teaselrudder::model {

namespace {

/// How the primary is lost.
enum class Loss {
  kCrash,        // It ends, and its connections are closed.
  kUnreachable,  // It ends, and its connections stay silent.
  kPartition,    // It runs on, but neither hosts nor members reach it.
};

struct Variant {
  const char* name;
  Loss loss;
  bool fenced;
};

constexpr Variant kVariants[] = {
    {"crash, fenced", Loss::kCrash, true},
    {"crash, not fenced", Loss::kCrash, false},
    {"unreachable, fenced", Loss::kUnreachable, true},
    {"unreachable, not fenced", Loss::kUnreachable, false},
    {"partition, fenced", Loss::kPartition, true},
    {"partition, not fenced", Loss::kPartition, false},
};

constexpr Duration kStep = std::chrono::milliseconds(5);
constexpr Duration kWarmUp = std::chrono::seconds(4);
/// Replies that were on their way when the primary was lost arrive within this time.
constexpr Duration kRepliesOnTheirWay = std::chrono::milliseconds(50);
constexpr Duration kLimit = std::chrono::seconds(30);

/// What the runs of one variant showed.
struct Result {
  std::vector<Duration> gaps;
  std::uint64_t promotions = 0;
  std::uint64_t promotions_before = 0;
  std::uint64_t lease_requests = 0;
  std::size_t violations = 0;
};

/// Lets each caller send its next write once it has the reply to the last one. Returns true if a write was served.
bool write_for(SessionWorld& world, const std::vector<std::size_t>& callers, Duration time) {
  std::vector<std::size_t> seen;
  for (const std::size_t caller : callers) {
    seen.push_back(world.caller(caller).replies.size());
    if (world.caller(caller).sent.empty()) {
      world.send(caller, StatementKind::kWrite);
    }
  }
  world.run_for(time);
  bool served = false;
  for (std::size_t index = 0; index < callers.size(); ++index) {
    const std::vector<StatementReply>& replies = world.caller(callers[index]).replies;
    served = served || std::any_of(replies.begin() + static_cast<std::ptrdiff_t>(seen[index]), replies.end(),
                                   [](const StatementReply& reply) { return !reply.error.has_value(); });
  }
  return served;
}

void write_until(SessionWorld& world, const std::vector<std::size_t>& callers, TimePoint end) {
  while (world.events().now() < end) {
    write_for(world, callers, kStep);
  }
}

void lose_primary(SessionWorld& world, Loss loss) {
  const std::size_t primary = world.members().primary();
  if (loss == Loss::kPartition) {
    world.isolate({}, {primary});
  } else {
    world.members().crash(primary, loss == Loss::kUnreachable);
  }
}

void run(const Variant& variant, std::uint64_t seed, Result& result) {
  SessionWorld world(FLAGS_hosts, seed, {.fenced = variant.fenced});
  const std::vector<std::size_t> callers = world.open_sessions(SessionWorld::kPrimaryReads);
  // The offset lets the loss meet the intervals of reports and probes at different times.
  const Duration offset = std::chrono::milliseconds(37 * (seed % 29));
  write_until(world, callers, world.events().now() + kWarmUp + offset);
  result.promotions_before += world.members().promotions();
  lose_primary(world, variant.loss);
  const TimePoint lost_at = world.events().now();
  write_until(world, callers, lost_at + kRepliesOnTheirWay);
  while (!write_for(world, callers, kStep) && world.events().now() < lost_at + kLimit) {
  }
  result.gaps.push_back(world.events().now() - lost_at);
  result.promotions += world.members().promotions();
  result.violations += world.violations().size();
  for (std::size_t host = 0; host < FLAGS_hosts; ++host) {
    result.lease_requests += world.counters(host).value("lease_requests");
  }
}

void print(const Variant& variant, Result result) {
  std::sort(result.gaps.begin(), result.gaps.end());
  const auto at = [&result](std::size_t percent) {
    const std::size_t index = std::min(result.gaps.size() - 1, result.gaps.size() * percent / 100);
    return std::to_string(to_milliseconds(result.gaps[index]));
  };
  std::printf("%-26s %8s %8s %8s %12s %12s %12s %8zu\n", variant.name, at(50).c_str(), at(99).c_str(), at(100).c_str(),
              std::to_string(result.promotions_before).c_str(), std::to_string(result.promotions).c_str(),
              std::to_string(result.lease_requests).c_str(), result.violations);
}

}  // namespace

}  // namespace teaselrudder::model

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_runs == 0 || FLAGS_hosts == 0) {
    std::fprintf(stderr, "runs and hosts must be positive\n");
    return 2;
  }
  std::printf("gap in ms of virtual time, %u runs each, %u hosts\n", FLAGS_runs, FLAGS_hosts);
  std::printf("%-26s %8s %8s %8s %12s %12s %12s %8s\n", "loss", "median", "p99", "worst", "prom. before", "promotions",
              "lease req.", "broken");
  for (const teaselrudder::model::Variant& variant : teaselrudder::model::kVariants) {
    teaselrudder::model::Result result;
    for (std::uint64_t seed = FLAGS_seed; seed < FLAGS_seed + FLAGS_runs; ++seed) {
      teaselrudder::model::run(variant, seed, result);
    }
    teaselrudder::model::print(variant, std::move(result));
  }
  return 0;
}
