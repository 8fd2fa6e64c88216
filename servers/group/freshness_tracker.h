#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <vector>

#include "core/ids.h"
#include "core/member_status.h"
#include "core/time.h"
#include "servers/group/group_action.h"

namespace teaselrudder {

/// Keeps samples of the primary's log position over time, which tell how stale the data of a replica is.
///
/// A sample (position of the primary in term t, time r before the request) is valid once a majority of members has
/// reported no term above t in reports requested at or after r: then no later primary had confirmed anything by r.
class FreshnessTracker {
 public:
  /// Maximum number of valid samples. Beyond it every second sample of the older half is dropped, so that old samples
  /// remain for replicas that are far behind.
  static constexpr std::size_t kMaxSamples = 256;
  /// Maximum number of samples that are not yet valid; beyond it the oldest is dropped.
  static constexpr std::size_t kMaxPending = 64;
  /// Minimum time between two samples; closer ones cost memory and time without making reads fresher.
  static constexpr Duration kMinSpacing = std::chrono::milliseconds(20);

  /// Sets the number of members that form a majority, and drops samples that are not valid yet.
  void set_majority(std::size_t majority);

  /// Processes a report of any member. With `is_primary` the member is the primary of the latest term that has one, and
  /// its position becomes a new sample.
  void on_report(const MemberId& member, const MemberStatus& status, TimePoint requested_at, bool is_primary);

  /// Returns the valid samples in ascending order of `requested_at`.
  const std::vector<FreshnessSample>& samples() const { return m_samples; }

 private:
  struct Pending {
    FreshnessSample sample;
    Term term;
    std::set<MemberId> supporters;
  };

  struct Report {
    Term raised_term;
    TimePoint requested_at;
  };

  void add_pending(const MemberStatus& status, TimePoint requested_at);
  void add_valid(const FreshnessSample& sample);
  static void count(Pending& pending, const MemberId& member, const Report& report);

  std::size_t m_majority = 1;
  std::vector<Pending> m_pending;
  std::vector<FreshnessSample> m_samples;
  std::map<MemberId, Report> m_reports;
  TimePoint m_last_sampled = TimePoint::min();
};

}  // namespace teaselrudder
