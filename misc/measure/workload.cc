#include "misc/measure/workload.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace teaselrudder::measure {

namespace {

/// Maximum number of retries with RetryMode::kNaive.
constexpr std::uint32_t kMaxNaiveRetries = 2;

double to_ms(Duration duration) { return static_cast<double>(duration.count()) / 1000; }

}  // namespace

double KindResult::quantile_ms(double share) {
  if (latencies.empty()) {
    return 0;
  }
  const auto last = static_cast<double>(latencies.size() - 1);
  const auto nth = latencies.begin() + static_cast<std::ptrdiff_t>(share * last);
  std::nth_element(latencies.begin(), nth, latencies.end());
  return to_ms(*nth);
}

double KindResult::mean_ms() const {
  if (latencies.empty()) {
    return 0;
  }
  return to_ms(std::accumulate(latencies.begin(), latencies.end(), Duration::zero())) /
         static_cast<double>(latencies.size());
}

Workload::Workload(VirtualTime& time, const Deployment& deployment, SharingScheme& scheme, RandomSource& random,
                   RetryMode retry_mode)
    : m_time(time),
      m_deployment(deployment),
      m_scheme(scheme),
      m_random(random),
      m_retry_mode(retry_mode),
      m_budgets(deployment.hosts) {}

std::vector<KindResult> Workload::run(const std::vector<RequestKind>& kinds, Duration warm_up, Duration length) {
  m_kinds = kinds;
  m_results.resize(kinds.size());
  m_measured_from = m_time.now() + warm_up;
  for (std::size_t kind = 0; kind < kinds.size(); ++kind) {
    schedule_arrival(kind);
  }
  m_time.run_until(m_measured_from + length);
  return std::move(m_results);
}

void Workload::schedule_arrival(std::size_t kind) {
  const RequestKind& request = m_kinds[kind];
  const auto slots = static_cast<double>(m_deployment.groups * m_deployment.group_slots());
  const Duration slot_time = request.mean_service + 2 * m_deployment.near_hop;
  const double mean_gap = static_cast<double>(slot_time.count()) / (request.load * slots);
  // Gaps of a few microseconds are rounded up or down at random to keep their mean. Several requests may arrive at the
  // same time.
  const double gap = -std::log(1 - m_random.uniform()) * mean_gap;
  const auto whole = static_cast<std::int64_t>(gap);
  const bool up = m_random.uniform() < gap - static_cast<double>(whole);
  m_time.after(Duration(whole + (up ? 1 : 0)), [this, kind] {
    arrive(kind);
    schedule_arrival(kind);
  });
}

void Workload::arrive(std::size_t kind) {
  const RequestKind& request = m_kinds[kind];
  Attempt attempt;
  attempt.kind = kind;
  attempt.host = m_random.uniform_index(m_deployment.hosts);
  attempt.group = m_random.uniform_index(m_deployment.groups);
  attempt.work.urgency = request.urgency;
  attempt.work.shape = request.shape;
  attempt.work.service = m_random.log_normal(request.mean_service);
  attempt.work.deadline = m_time.now() + request.deadline;
  attempt.sent_at = m_time.now();
  m_budgets[attempt.host].on_request();
  m_results[kind].offered += m_time.now() >= m_measured_from ? 1 : 0;
  send(attempt);
}

void Workload::send(const Attempt& sent) {
  Attempt attempt = sent;
  attempt.answered = std::make_shared<bool>(false);
  if (m_retry_mode == RetryMode::kNaive && attempt.number < kMaxNaiveRetries) {
    m_time.after(attempt.work.deadline - m_time.now(), [this, attempt] {
      if (!*attempt.answered) {
        retry(attempt);
      }
    });
  }
  m_scheme.submit(attempt.host, attempt.group, attempt.work, [this, attempt](WorkResult result, Duration retry_after) {
    *attempt.answered = true;
    on_done(attempt, result, retry_after);
  });
}

void Workload::on_done(const Attempt& attempt, WorkResult result, Duration retry_after) {
  if (result == WorkResult::kRefused) {
    retry_after_refusal(attempt, retry_after);
    return;
  }
  KindResult& kind = m_results[attempt.kind];
  if (m_time.now() < m_measured_from) {
    return;
  }
  const bool in_time = m_time.now() <= attempt.work.deadline;
  kind.latencies.push_back(m_time.now() - attempt.sent_at);
  kind.in_time += in_time ? 1 : 0;
  kind.late += in_time ? 0 : 1;
  kind.useful_time += in_time ? attempt.work.service + 2 * m_deployment.near_hop : Duration::zero();
}

void Workload::retry_after_refusal(const Attempt& attempt, Duration retry_after) {
  if (m_retry_mode != RetryMode::kBudgeted || attempt.number > 0 || !m_budgets[attempt.host].try_spend()) {
    return;
  }
  const Duration delay = retry_after + retry_delay(attempt.number, m_random.uniform());
  m_time.after(delay, [this, attempt] { retry(attempt); });
}

void Workload::retry(Attempt attempt) {
  ++attempt.number;
  attempt.sent_at = m_time.now();
  attempt.work.deadline = m_time.now() + m_kinds[attempt.kind].deadline;
  send(attempt);
}

}  // namespace teaselrudder::measure
