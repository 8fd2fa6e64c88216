#include "servers/failover/promotion_orders.h"

#include <algorithm>

namespace teaselrudder {

void PromotionOrders::on_duty_began(FencingToken token, TimePoint now) {
  // With an unchanged token nobody else held the duty meanwhile.
  if (m_duty_token != token) {
    m_duty_token = token;
    m_duty_began = now;
  }
}

void PromotionOrders::on_ordered(const MemberId& member, FencingToken token) {
  m_awaited = member;
  m_awaited_token = token;
}

void PromotionOrders::on_answered(PromotionOutcome outcome, TimePoint now) {
  if (!m_awaited.has_value()) {
    return;
  }
  const MemberId member = *m_awaited;
  m_awaited.reset();
  std::erase_if(m_orders, [this, now](const auto& order) { return !is_outstanding(order.second, now); });
  const auto before = m_orders.find(member);
  switch (outcome) {
    case PromotionOutcome::kDone:
      if (former_orders_may_act(now)) {
        m_fenced_at = now;
      }
      if (m_awaited_token > m_accepted_token) {
        m_accepted_token = m_awaited_token;
        m_accepted_at = now;
      }
      // An earlier order for the member may still be carried out, unless the platform rejects its token now.
      if (before != m_orders.end() && !before->second.accepted &&
          (!m_tokens_are_checked || before->second.token >= m_awaited_token)) {
        return;
      }
      m_orders[member] = {m_awaited_token, now + kEffectTime, true};
      return;
    case PromotionOutcome::kUnknown:
      m_orders[member] = {m_awaited_token, now + kUnansweredTime, false};
      return;
    case PromotionOutcome::kRefused:
    case PromotionOutcome::kRejected:
      return;
  }
}

bool PromotionOrders::is_fenced(const Order& order) const {
  return m_tokens_are_checked && !order.accepted && order.token < m_accepted_token;
}

bool PromotionOrders::is_outstanding(const Order& order, TimePoint now) const {
  // The platform may have accepted the order just before it saw the higher token.
  return now < order.ends_at && !(is_fenced(order) && now >= m_accepted_at + kEffectTime);
}

bool PromotionOrders::may_promote(const MemberId& member, TimePoint now) const {
  const auto order = m_orders.find(member);
  return m_awaited == member || (order != m_orders.end() && is_outstanding(order->second, now));
}

bool PromotionOrders::may_promote_other_than(const MemberId& leader, TimePoint now) const {
  return !outstanding_except(leader, now).empty();
}

std::vector<MemberId> PromotionOrders::outstanding_except(const MemberId& leader, TimePoint now) const {
  std::vector<MemberId> members;
  if (m_awaited.has_value() && *m_awaited != leader) {
    members.push_back(*m_awaited);
  }
  for (const auto& [member, order] : m_orders) {
    if (member != leader && is_outstanding(order, now)) {
      members.push_back(member);
    }
  }
  return members;
}

bool PromotionOrders::former_orders_may_be_accepted(TimePoint now) const {
  return former_orders_may_act(now) || now < m_fenced_at + kEffectTime;
}

bool PromotionOrders::former_orders_may_act(TimePoint now) const {
  const bool is_fenced = m_tokens_are_checked && m_duty_token.has_value() && m_accepted_token >= *m_duty_token;
  return !is_fenced && now < m_duty_began + kUnansweredTime;
}

std::optional<FencingToken> PromotionOrders::highest_token_except(const MemberId& leader, TimePoint now) const {
  std::optional<FencingToken> highest;
  for (const auto& [member, order] : m_orders) {
    if (member != leader && !order.accepted && !is_fenced(order) && now < order.ends_at) {
      highest = std::max(highest.value_or(order.token), order.token);
    }
  }
  return highest;
}

bool PromotionOrders::is_fenced_by(FencingToken token, const MemberId& leader, TimePoint now) const {
  const std::optional<FencingToken> highest = highest_token_except(leader, now);
  return !highest.has_value() || token > *highest;
}

}  // namespace teaselrudder
