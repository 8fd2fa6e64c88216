#include "core/metrics/counters.h"

#include <numeric>
#include <sstream>

namespace teaselrudder {

namespace {

// Names in the order of RetryReason.
constexpr std::array<std::string_view, kRetryReasonCount> kRetryNames = {
    "primary_changed",   "replica_behind",    "connection_lost", "connect_failed",
    "silent_connection", "owner_unreachable", "owner_lost",
};

constexpr std::array<Ran, 3> kAllRan = {Ran::kNo, Ran::kYes, Ran::kUnknown};

}  // namespace

std::string_view to_string(RetryReason reason) { return kRetryNames.at(static_cast<std::size_t>(reason)); }

void Counters::count_refusal(RefusalReason reason, Ran ran) {
  ++m_refusals.at(static_cast<std::size_t>(reason)).at(static_cast<std::size_t>(ran));
}

void Counters::count_retry(RetryReason reason) { ++m_retries.at(static_cast<std::size_t>(reason)); }

void Counters::count(std::string_view name, std::uint64_t increment) {
  const auto found = m_events.find(name);
  if (found != m_events.end()) {
    found->second += increment;
    return;
  }
  m_events.emplace(name, increment);
}

std::uint64_t Counters::refusals(RefusalReason reason, Ran ran) const {
  return m_refusals.at(static_cast<std::size_t>(reason)).at(static_cast<std::size_t>(ran));
}

std::uint64_t Counters::refusals(RefusalReason reason) const {
  const auto& by_ran = m_refusals.at(static_cast<std::size_t>(reason));
  return std::accumulate(by_ran.begin(), by_ran.end(), std::uint64_t{0});
}

std::uint64_t Counters::retries(RetryReason reason) const { return m_retries.at(static_cast<std::size_t>(reason)); }

std::uint64_t Counters::value(std::string_view name) const {
  const auto found = m_events.find(name);
  return found == m_events.end() ? 0 : found->second;
}

std::string Counters::to_prometheus() const {
  std::ostringstream out;
  out << "# TYPE teaselrudder_refusals_total counter\n";
  for (std::size_t index = 0; index < kRefusalReasonCount; ++index) {
    const auto reason = static_cast<RefusalReason>(index);
    for (const Ran ran : kAllRan) {
      out << "teaselrudder_refusals_total{reason=\"" << to_string(reason) << "\",ran=\"" << to_string(ran) << "\"} "
          << refusals(reason, ran) << '\n';
    }
  }
  out << "# TYPE teaselrudder_retries_total counter\n";
  for (std::size_t index = 0; index < kRetryReasonCount; ++index) {
    const auto reason = static_cast<RetryReason>(index);
    out << "teaselrudder_retries_total{reason=\"" << to_string(reason) << "\"} " << retries(reason) << '\n';
  }
  for (const auto& [name, count] : m_events) {
    out << "# TYPE teaselrudder_" << name << "_total counter\n";
    out << "teaselrudder_" << name << "_total " << count << '\n';
  }
  return out.str();
}

}  // namespace teaselrudder
