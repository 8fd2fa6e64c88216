#pragma once

#include <map>
#include <optional>

#include "core/ids.h"
#include "core/member_status.h"
#include "core/time.h"

namespace teaselrudder {

/// Tells whether `member` does not replicate the log of the primary with the status `primary`: it is in an older term
/// or holds records that the primary does not have.
bool needs_follow(const MemberStatus& member, const MemberStatus& primary);

/// Bounds the rate of Follow orders to each member of a group.
class FollowOrderLimiter {
 public:
  explicit FollowOrderLimiter(Duration interval) : m_interval(interval) {}

  /// Records an order to `member` and returns true, unless the last one was sent less than the interval ago.
  bool try_send(const MemberId& member, Term term, TimePoint now);

  /// Returns when the first order to `member` for `term` was sent, if the last one was for `term`. An answer may belong
  /// to any of the orders, so its status is only known to be younger than the first.
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
