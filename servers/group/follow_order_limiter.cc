#include "servers/group/follow_order_limiter.h"

#include <algorithm>

namespace teaselrudder {

bool needs_follow(const MemberStatus& member, const MemberStatus& primary) {
  if (member.raised_term > primary.raised_term) {
    // The member would reject the order because of its higher term. Only a promotion in a later term helps.
    return false;
  }
  if (member.raised_term < primary.raised_term || member.log_term < primary.log_term || member.is_primary) {
    return true;
  }
  // The two reports were not made at the same instant, so a position beyond the primary's report alone is no
  // divergence.
  const LogPosition primary_end = std::max(primary.received, member.received);
  return member.history.common_prefix_end(primary.history, member.received, primary_end) < member.received;
}

bool FollowOrderLimiter::try_send(const MemberId& member, Term term, TimePoint now) {
  const auto last = m_orders.find(member);
  if (last == m_orders.end() || last->second.term != term) {
    m_orders.insert_or_assign(member, Order{term, now, now});
    return true;
  }
  if (now < last->second.sent_at + m_interval) {
    return false;
  }
  last->second.sent_at = now;
  return true;
}

std::optional<TimePoint> FollowOrderLimiter::first_sent_at(const MemberId& member, Term term) const {
  const auto last = m_orders.find(member);
  if (last == m_orders.end() || last->second.term != term) {
    return std::nullopt;
  }
  return last->second.first_sent_at;
}

}  // namespace teaselrudder
