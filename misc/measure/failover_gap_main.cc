#include <gflags/gflags.h>

#include <algorithm>
#include <cstdint>
#include <iomanip>
#include <iostream>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "misc/measure/group_harness.h"

DEFINE_uint64(seed, 1, "Seed of the first run; each further run uses the next seed.");
DEFINE_uint64(runs, 500, "Number of runs for each case.");

namespace teaselrudder {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Maximum gap. A run without a confirmed write until then counts with this gap.
constexpr Duration kMaxGap = seconds(30);
constexpr Duration kWriteInterval = milliseconds(5);
// Time without an answer of the primary after which the naive owner promotes another member.
constexpr Duration kNaiveTimeout = seconds(3);

enum class Loss { kKill, kPartition };

struct Case {
  std::string name;
  Duration latency;
  Duration connect_cost;
  Loss loss = Loss::kKill;
};

struct Outcome {
  std::vector<Duration> gaps;
  std::size_t confirmed = 0;
  std::size_t lost = 0;
};

// Records all confirmed writes, and the time of the first one in a term after that of the lost primary.
class GapObserver : public model::HarnessObserver {
 public:
  void on_confirmed(std::uint64_t id, const LogPoint& point, std::size_t /*holders*/, TimePoint now) override {
    m_confirmed.push_back(id);
    if (point.term > m_lost_term && !m_recovered_at.has_value()) {
      m_recovered_at = now;
    }
  }

  void start_gap(Term term) {
    m_lost_term = term;
    m_recovered_at.reset();
  }

  const std::optional<TimePoint>& recovered_at() const { return m_recovered_at; }
  const std::vector<std::uint64_t>& confirmed() const { return m_confirmed; }

 private:
  Term m_lost_term = Term(1);
  std::optional<TimePoint> m_recovered_at;
  std::vector<std::uint64_t> m_confirmed;
};

std::size_t count_missing(const std::vector<std::uint64_t>& confirmed, const std::vector<model::Record>& log) {
  std::set<std::uint64_t> present;
  for (const model::Record& record : log) {
    present.insert(record.id);
  }
  return static_cast<std::size_t>(std::count_if(confirmed.begin(), confirmed.end(),
                                                [&present](std::uint64_t id) { return !present.contains(id); }));
}

std::size_t find_primary(model::GroupHarness& harness) {
  std::size_t leader = 0;
  for (std::size_t index = 0; index < harness.size(); ++index) {
    const bool is_newer = harness.member(index).raised_term() > harness.member(leader).raised_term();
    if (harness.member(index).is_primary() && (is_newer || !harness.member(leader).is_primary())) {
      leader = index;
    }
  }
  return leader;
}

void write_through_all_owners(model::GroupHarness& harness) {
  for (std::size_t owner = 0; owner < harness.size(); ++owner) {
    harness.write(owner, owner);
  }
  harness.run_for(kWriteInterval);
}

void run_group(const Case& setting, std::uint64_t seed, Outcome& outcome) {
  model::HarnessOptions options;
  options.latency = setting.latency;
  options.connect_cost = setting.connect_cost;
  options.seed = seed;
  GapObserver observer;
  model::GroupHarness harness(options, observer);
  // Spreads the time of the loss over all phases of the probe interval.
  const TimePoint loss_at = harness.now() + seconds(2) + milliseconds(seed * 7919 % 997);
  while (harness.now() < loss_at) {
    write_through_all_owners(harness);
  }
  const std::size_t old_primary = find_primary(harness);
  observer.start_gap(harness.member(old_primary).raised_term());
  const TimePoint lost_at = harness.now();
  if (setting.loss == Loss::kKill) {
    harness.set_member_up(old_primary, false);
  } else {
    harness.isolate(old_primary, true);
  }
  while (!observer.recovered_at().has_value() && harness.now() < lost_at + kMaxGap) {
    write_through_all_owners(harness);
  }
  outcome.gaps.push_back(observer.recovered_at().value_or(harness.now()) - lost_at);
  // The old primary returns; records that only it has must not come back into the log.
  harness.set_member_up(old_primary, true);
  harness.isolate(old_primary, false);
  for (Duration passed{0}; passed < seconds(2); passed += kWriteInterval) {
    write_through_all_owners(harness);
  }
  outcome.confirmed += observer.confirmed().size();
  outcome.lost += count_missing(observer.confirmed(), harness.member(find_primary(harness)).log());
}

// Baseline: an owner without terms. It acknowledges writes as soon as the primary executed them, and promotes the first
// other member after a fixed timeout. While the primary is isolated, callers in its failure domain continue to write to
// it.
void run_naive(const Case& setting, std::uint64_t seed, Outcome& outcome) {
  std::mt19937_64 random(seed);
  std::vector<model::MemberModel> members(3);
  members[0].promote_unchecked(Term(1));
  members[1].follow(Term(1), 0);
  members[2].follow(Term(1), 0);
  struct InFlight {
    TimePoint arrives;
    std::size_t replica;
    model::LogSegment segment;
  };
  std::vector<InFlight> links;
  std::vector<std::uint64_t> acknowledged;
  std::uint64_t next_id = 1;
  TimePoint now;
  TimePoint next_write;
  const TimePoint lost_at = now + seconds(2) + milliseconds(seed * 7919 % 997);
  const TimePoint promoted_at = lost_at + kNaiveTimeout + Duration(static_cast<Duration::rep>(random() % 250'000));
  const TimePoint usable_at = promoted_at + setting.connect_cost + 2 * setting.latency;
  for (; now < promoted_at; now += std::chrono::microseconds(500)) {
    const bool is_lost = now >= lost_at;
    const bool primary_runs = !is_lost || setting.loss == Loss::kPartition;
    if (primary_runs && now >= next_write) {
      const std::uint64_t id = next_id++;
      members[0].write(Term(1), id);
      acknowledged.push_back(id);
      next_write = now + kWriteInterval;
    }
    for (std::size_t replica = 1; replica < 3 && !is_lost; ++replica) {
      const auto segment = members[0].segment_for(members[replica]);
      if (segment.has_value()) {
        links.push_back({now + setting.latency, replica, *segment});
      }
    }
    std::erase_if(links, [&](const InFlight& link) {
      if (link.arrives > now) {
        return false;
      }
      if (!is_lost) {
        members[link.replica].receive(link.segment);
      }
      return true;
    });
  }
  members[1].promote_unchecked(Term(2));
  outcome.gaps.push_back(usable_at + 2 * setting.latency - lost_at);
  outcome.confirmed += acknowledged.size();
  outcome.lost += count_missing(acknowledged, members[1].log());
}

void print(const std::string& name, Outcome outcome) {
  std::sort(outcome.gaps.begin(), outcome.gaps.end());
  const std::size_t p99 = (outcome.gaps.size() - 1) * 99 / 100;
  std::cout << std::left << std::setw(52) << name << std::right << std::setw(8)
            << to_milliseconds(outcome.gaps[outcome.gaps.size() / 2]) << std::setw(8)
            << to_milliseconds(outcome.gaps[p99]) << std::setw(8) << to_milliseconds(outcome.gaps.back())
            << std::setw(12) << outcome.confirmed << std::setw(8) << outcome.lost << '\n';
}

void run_all() {
  const std::vector<Case> cases = {
      {"1.5 ms, connect 10 ms, kill", std::chrono::microseconds(1500), milliseconds(10), Loss::kKill},
      {"1.5 ms, connect 10 ms, partition", std::chrono::microseconds(1500), milliseconds(10), Loss::kPartition},
      {"1 ms, connect 30 ms, kill", milliseconds(1), milliseconds(30), Loss::kKill},
      {"1 ms, connect 30 ms, partition", milliseconds(1), milliseconds(30), Loss::kPartition},
  };
  std::cout << std::left << std::setw(52) << "gap in ms of virtual time, " + std::to_string(FLAGS_runs) + " runs each"
            << std::right << std::setw(8) << "median" << std::setw(8) << "p99" << std::setw(8) << "worst"
            << std::setw(12) << "confirmed" << std::setw(8) << "lost" << '\n';
  for (const Case& setting : cases) {
    Outcome group;
    Outcome naive;
    for (std::uint64_t run = 0; run < FLAGS_runs; ++run) {
      run_group(setting, FLAGS_seed + run, group);
      run_naive(setting, FLAGS_seed + run, naive);
    }
    print("group, " + setting.name, group);
    print("naive, " + setting.name, naive);
  }
}

}  // namespace

}  // namespace teaselrudder

/// Measures the time from the loss of the primary to the next confirmed write, compared to an owner without terms.
int main(int argc, char** argv) {
  try {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_runs == 0) {
      std::cerr << "failover_gap: --runs must be at least 1\n";
      return EXIT_FAILURE;
    }
    teaselrudder::run_all();
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return EXIT_FAILURE;
  }
  return EXIT_SUCCESS;
}
