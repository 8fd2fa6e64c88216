#pragma once

#include <map>
#include <optional>

#include "core/ids.h"
#include "core/member_status.h"
#include "core/time.h"

namespace teaselrudder {

/// Returns true if `member` must be ordered to replicate from the primary with the status `primary`: it is in an older
/// term, still acts as a primary, or holds records that the primary does not have.
bool needs_follow(const MemberStatus& member, const MemberStatus& primary);

/// Limits the rate of Follow orders to each member of a group.
class FollowOrderLimiter {
 public:
  explicit FollowOrderLimiter(Duration interval) : m_interval(interval) {}

  /// Records an order to `member` and returns true, unless the last order for the same term was sent less than the
  /// interval ago; then returns false.
  bool try_send(const MemberId& member, Term term, TimePoint now);

  /// Returns when the first order to `member` for `term` was sent, or nothing if the last one was for another term. An
  /// answer may belong to any of the orders, so its status is only known to be newer than the first.
  std::optional<TimePoint> first_sent_at(const MemberId& member, Term term) const;

 private:
  struct Order {
    Term term;
    TimePoint first_sent_at;
    TimePoint sent_at;
  };

  Duration m_interval;
  std::map<MemberId, Order> m_orders;
};

}  // namespace teaselrudder
