#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "misc/measure/sharing_schemes.h"
#include "servers/scheduling/retry_budget.h"

namespace teaselrudder::measure {

/// Parameters of one kind of request.
struct RequestKind {
  std::string shape;
  Urgency urgency = Urgency::kNormal;
  /// Offered load of this kind as a share of the capacity of all slots. A request occupies a slot for its service time
  /// plus one round trip within a failure domain.
  double load = 0;
  Duration mean_service{0};
  Duration deadline{0};
};

/// How callers retry requests. Each retry has its own deadline, and its latency is measured from its own start.
enum class RetryMode {
  kNone,
  kBudgeted,  // A refused request is sent once more after the time in the refusal, limited by RetryBudget.
  kNaive,     // A request that is unanswered at its deadline is sent again, up to twice.
};

/// Results of the requests of one kind.
struct KindResult {
  std::vector<Duration> latencies;
  std::uint64_t offered = 0;
  /// Number of requests answered before the deadline, the slot time they used, and the number answered after it.
  /// Answers are counted on arrival, so that requests in progress at the start and at the end of the run balance each
  /// other.
  std::uint64_t in_time = 0;
  Duration useful_time{0};
  std::uint64_t late = 0;

  /// Returns a quantile of the latencies of answered requests in milliseconds.
  double quantile_ms(double share);
  double mean_ms() const;
};

/// Sends random requests to a scheme in virtual time and collects results after a warm-up.
class Workload {
 public:
  Workload(VirtualTime& time, const Deployment& deployment, SharingScheme& scheme, RandomSource& random,
           RetryMode retry_mode);

  /// Runs all kinds of requests for `length` after the warm-up. Returns one result for each kind.
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
  void retry_after_refusal(const Attempt& attempt, Duration retry_after);
  void retry(Attempt attempt);

  VirtualTime& m_time;
  Deployment m_deployment;
  SharingScheme& m_scheme;
  RandomSource& m_random;
  RetryMode m_retry_mode;
  std::vector<RequestKind> m_kinds;
  std::vector<KindResult> m_results;
  std::vector<RetryBudget> m_budgets;
  TimePoint m_measured_from;
};

}  // namespace teaselrudder::measure
