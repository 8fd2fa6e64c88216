#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "misc/measure/sharing_schemes.h"
#include "servers/scheduling/retry_budget.h"

namespace teaselrudder::measure {

/// One kind of requests.
struct RequestKind {
  std::string shape;
  Urgency urgency = Urgency::kNormal;
  /// Share of the capacity of all slots that requests of this kind ask for. The time that a request takes of a slot is
  /// its service time and one round trip within a failure domain.
  double load = 0;
  Duration mean_service{0};
  Duration deadline{0};
};

/// How requests that were not answered in time are repeated. A repetition has a deadline and a latency of its own.
enum class Repetition {
  kNone,
  kBudgeted,  // A refused request is sent once more after the time that the refusal states, within RetryBudget.
  kNaive,     // A request without an answer at its deadline is sent again, up to twice.
};

/// What became of the requests of one kind.
struct KindResult {
  std::vector<Duration> latencies;
  std::uint64_t offered = 0;
  /// Answered before the deadline, the slot time that they took, and answered after it. Answers count when they
  /// arrive, so that work in progress at both ends of the counted time evens out.
  std::uint64_t in_time = 0;
  Duration useful_time{0};
  std::uint64_t late = 0;

  /// Returns a quantile of the latencies of answered requests in milliseconds.
  double quantile_ms(double share);
  double mean_ms() const;
};

/// Sends requests to a scheme for a virtual time and collects results after a warm-up.
class Workload {
 public:
  Workload(VirtualTime& time, const Deployment& deployment, SharingScheme& scheme, RandomSource& random,
           Repetition repetition);

  /// Runs all kinds for `length` after the warm-up and returns one result for each.
  std::vector<KindResult> run(const std::vector<RequestKind>& kinds, Duration warm_up, Duration length);

 private:
  struct Attempt {
    std::size_t kind = 0;
    std::size_t host = 0;
    std::size_t group = 0;
    Work work;
    TimePoint sent_at;
    std::uint32_t number = 0;
    std::shared_ptr<bool> answered;
  };

  void schedule_arrival(std::size_t kind);
  void arrive(std::size_t kind);
  void send(const Attempt& attempt);
  void on_done(const Attempt& attempt, WorkResult result, Duration retry_after);
  void repeat_after_refusal(const Attempt& attempt, Duration retry_after);
  void repeat(Attempt attempt);

  VirtualTime& m_time;
  Deployment m_deployment;
  SharingScheme& m_scheme;
  RandomSource& m_random;
  Repetition m_repetition;
  std::vector<RequestKind> m_kinds;
  std::vector<KindResult> m_results;
  std::vector<RetryBudget> m_budgets;
  TimePoint m_count_from;
};

}  // namespace teaselrudder::measure
