#include <gflags/gflags.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <vector>

#include "misc/measure/sharing_schemes.h"
#include "misc/measure/virtual_time.h"
#include "misc/measure/workload.h"

DEFINE_uint64(seed, 20261204, "Seed of all random values.");
DEFINE_uint32(seconds, 20, "Measured virtual time in seconds.");
DEFINE_string(only, "", "Runs one part: overload, stragglers, sharing or faults. Empty runs all.");

namespace teaselrudder::measure {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kWarmUp = seconds(5);

std::vector<Deployment> deployments() {
  Deployment ripewell;
  ripewell.name = "Ripewell";
  ripewell.failure_domains = 4;
  ripewell.far_hop = std::chrono::microseconds(1500);
  ripewell.connections = 20;
  ripewell.connect_cost = milliseconds(10);
  ripewell.hosts = 8;
  Deployment hinokuni;
  hinokuni.name = "Hinokuni";
  hinokuni.failure_domains = 3;
  hinokuni.far_hop = milliseconds(1);
  hinokuni.connections = 40;
  hinokuni.connect_cost = milliseconds(30);
  hinokuni.hosts = 7;
  return {ripewell, hinokuni};
}

std::vector<KindResult> run(const Deployment& deployment, OwnerPolicy policy, const std::vector<RequestKind>& kinds) {
  VirtualTime time;
  RandomSource random(FLAGS_seed);
  OwnerScheme scheme(time, deployment, policy);
  const RetryMode retry_mode = policy == OwnerPolicy::kNaive ? RetryMode::kNaive : RetryMode::kBudgeted;
  Workload workload(time, deployment, scheme, random, retry_mode);
  return workload.run(kinds, kWarmUp, seconds(FLAGS_seconds));
}

const char* policy_name(OwnerPolicy policy) { return policy == OwnerPolicy::kNaive ? "naive" : "member queue"; }

/// Returns kinds of requests with a total load of `load` times the capacity, of which `urgent_share` is urgent.
/// Background requests take ten times as long as the others.
std::vector<RequestKind> mixed_requests(double load, double urgent_share) {
  return {{"adjust", Urgency::kUrgent, load * urgent_share, milliseconds(5), seconds(1)},
          {"status", Urgency::kNormal, load * (0.75 - urgent_share), milliseconds(5), seconds(2)},
          {"history", Urgency::kBackground, load * 0.25, milliseconds(50), seconds(5)}};
}

/// Results of all kinds: goodput as a share of the capacity, share of late answers, and the share of requests of each
/// kind that were answered in time.
struct Totals {
  double goodput = 0;
  double late = 0;
  std::vector<double> served;
};

Totals compute_totals(const Deployment& deployment, const std::vector<KindResult>& results) {
  const double capacity =
      static_cast<double>(FLAGS_seconds) * 1e6 * static_cast<double>(deployment.groups * deployment.group_slots());
  Totals totals;
  double answered = 0;
  for (const KindResult& kind : results) {
    totals.goodput += static_cast<double>(kind.useful_time.count()) / capacity;
    totals.late += static_cast<double>(kind.late);
    answered += static_cast<double>(kind.late + kind.in_time);
    totals.served.push_back(static_cast<double>(kind.in_time) / static_cast<double>(kind.offered));
  }
  totals.late /= std::max(answered, 1.0);
  return totals;
}

void print_mixed(const Deployment& deployment, const char* name, double urgent_share, double load,
                 std::vector<KindResult>& results, double unloaded_p99) {
  const Totals totals = compute_totals(deployment, results);
  const double p99 = results[0].quantile_ms(0.99);
  std::printf("%-9s %-15s %6.0f%% %5.1fx %7.1f%% %7.2f%% %6.1f ms %6.1f ms %6.2f %6.1f%% %6.1f%% %6.1f%%\n",
              deployment.name.c_str(), name, 100 * urgent_share, load, 100 * totals.goodput, 100 * totals.late, p99,
              unloaded_p99, p99 / unloaded_p99, 100 * totals.served[0], 100 * totals.served[1], 100 * totals.served[2]);
}

void print_mixed_header(const char* part) {
  std::printf("%-9s %-15s %7s %6s %8s %8s %9s %9s %6s %7s %7s %7s\n", part, "policy", "urgent", "load", "goodput",
              "late", "p99 urg.", "unloaded", "ratio", "urgent", "normal", "backgr.");
}

void measure_overload(const Deployment& deployment) {
  print_mixed_header("(a)");
  for (const double urgent_share : {0.05, 0.1, 0.2}) {
    for (const OwnerPolicy policy : {OwnerPolicy::kNaive, OwnerPolicy::kMemberQueue}) {
      const double unloaded = run(deployment, policy, mixed_requests(0.1, urgent_share))[0].quantile_ms(0.99);
      for (const double load : {1.2, 10.0}) {
        std::vector<KindResult> results = run(deployment, policy, mixed_requests(load, urgent_share));
        print_mixed(deployment, policy_name(policy), urgent_share, load, results, unloaded);
      }
    }
  }
}

/// A fault of the duration estimates or of the members.
struct Fault {
  const char* name;
  double estimate_factor;
  bool hanging_slots;
};

void measure_faults(const Deployment& deployment) {
  print_mixed_header("(d)");
  const double urgent_share = 0.1;
  const double unloaded =
      run(deployment, OwnerPolicy::kMemberQueue, mixed_requests(0.1, urgent_share))[0].quantile_ms(0.99);
  for (const Fault& fault :
       {Fault{"estimates / 10", 0.1, false}, Fault{"estimates x 10", 10, false}, Fault{"1 of 3 hangs", 1, true}}) {
    for (const double load : {0.5, 10.0}) {
      VirtualTime time;
      RandomSource random(FLAGS_seed);
      OwnerScheme scheme(time, deployment, OwnerPolicy::kMemberQueue, fault.estimate_factor);
      if (fault.hanging_slots) {
        scheme.hang_one_slot_of_each_member();
      }
      Workload workload(time, deployment, scheme, random, RetryMode::kBudgeted);
      std::vector<KindResult> results =
          workload.run(mixed_requests(load, urgent_share), kWarmUp, seconds(FLAGS_seconds));
      print_mixed(deployment, fault.name, urgent_share, load, results, unloaded);
    }
  }
}

void measure_stragglers(const Deployment& deployment) {
  std::printf("%-9s %-13s %11s %10s %10s %12s %7s %12s\n", "(b)", "policy", "short load", "long load", "p99 alone",
              "p99 behind", "ratio", "long in time");
  for (const double short_load : {0.2, 0.4}) {
    for (const double long_load : {0.1, 0.2, 0.3}) {
      for (const OwnerPolicy policy : {OwnerPolicy::kNaive, OwnerPolicy::kMemberQueue}) {
        const RequestKind brief{"status", Urgency::kNormal, short_load, milliseconds(5), seconds(10)};
        const RequestKind straggler{"history", Urgency::kNormal, long_load, milliseconds(250), seconds(10)};
        std::vector<KindResult> alone = run(deployment, policy, {brief});
        std::vector<KindResult> behind = run(deployment, policy, {brief, straggler});
        const double p99_alone = alone[0].quantile_ms(0.99);
        const double p99_behind = behind[0].quantile_ms(0.99);
        std::printf("%-9s %-13s %10.0f%% %9.0f%% %7.1f ms %9.1f ms %7.2f %11.1f%%\n", deployment.name.c_str(),
                    policy_name(policy), 100 * short_load, 100 * long_load, p99_alone, p99_behind,
                    p99_behind / p99_alone,
                    100 * static_cast<double>(behind[1].in_time) / static_cast<double>(behind[1].offered));
      }
    }
  }
}

void measure_scheme(const Deployment& deployment, const char* name, double load) {
  VirtualTime time;
  RandomSource random(FLAGS_seed);
  std::unique_ptr<SharingScheme> scheme;
  if (std::string(name) == "fixed share") {
    scheme = std::make_unique<FixedShareScheme>(time, deployment);
  } else if (std::string(name) == "borrowing") {
    scheme = std::make_unique<BorrowingScheme>(time, deployment, random);
  } else {
    scheme = std::make_unique<OwnerScheme>(time, deployment, OwnerPolicy::kMemberQueue);
  }
  Workload workload(time, deployment, *scheme, random, RetryMode::kNone);
  const RequestKind kind{"status", Urgency::kNormal, load, milliseconds(5), seconds(10)};
  KindResult result = workload.run({kind}, kWarmUp, seconds(FLAGS_seconds))[0];
  std::printf("%-9s %-12s %6zu %5.0f%% %9.1f ms %9.1f ms %9.1f%%\n", deployment.name.c_str(), name, deployment.hosts,
              100 * load, result.mean_ms(), result.quantile_ms(0.99),
              100 * static_cast<double>(result.in_time) / static_cast<double>(result.offered));
}

void measure_sharing(Deployment deployment) {
  std::printf("%-9s %-12s %6s %6s %12s %12s %10s\n", "(c)", "scheme", "hosts", "load", "mean", "p99", "in time");
  for (const std::size_t hosts : {deployment.hosts, std::size_t{520}}) {
    deployment.hosts = hosts;
    for (const double load : {0.5, 0.8, 0.95}) {
      for (const char* scheme : {"fixed share", "owner", "borrowing"}) {
        measure_scheme(deployment, scheme, load);
      }
    }
  }
}

}  // namespace

}  // namespace teaselrudder::measure

/// Measures the scheduling policies under virtual time and prints a table for each part.
int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  for (const teaselrudder::measure::Deployment& deployment : teaselrudder::measure::deployments()) {
    if (FLAGS_only.empty() || FLAGS_only == "overload") {
      teaselrudder::measure::measure_overload(deployment);
    }
    if (FLAGS_only.empty() || FLAGS_only == "stragglers") {
      teaselrudder::measure::measure_stragglers(deployment);
    }
    if (FLAGS_only.empty() || FLAGS_only == "sharing") {
      teaselrudder::measure::measure_sharing(deployment);
    }
    if (FLAGS_only.empty() || FLAGS_only == "faults") {
      teaselrudder::measure::measure_faults(deployment);
    }
  }
  return EXIT_SUCCESS;
}
