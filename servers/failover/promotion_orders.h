#pragma once

#include <map>
#include <optional>
#include <vector>

#include "core/ids.h"
#include "core/ports/promotion_port.h"
#include "core/time.h"

namespace teaselrudder {

/// The promotion orders of one group that may still take effect.
///
/// An accepted order takes effect some hundred milliseconds later. One without an answer may be carried out seconds
/// later, unless the platform has seen a higher fencing token by then. An order for a member is based on the log
/// positions of its time, so no other member may be given authority while the order can take effect.
///
/// Orders of former holders of the duty are not known. They count as outstanding until the platform has answered an
/// order with this holder's token.
class PromotionOrders {
 public:
  /// Maximum time between the acceptance of an order and its effect.
  static constexpr Duration kEffectTime = std::chrono::milliseconds(1500);
  /// Time after which an order without an answer is assumed not to be carried out any more.
  static constexpr Duration kUnansweredTime = std::chrono::seconds(15);

  explicit PromotionOrders(bool tokens_are_checked) : m_tokens_are_checked(tokens_are_checked) {}

  /// Notes that this host took the duty with `token`, so that another host may have given orders before.
  void on_duty_began(FencingToken token, TimePoint now);

  /// Notes that an order was sent. No other one may be sent before it is answered.
  void on_ordered(const MemberId& member, FencingToken token);
  /// Returns the member of the order that awaits its answer.
  const std::optional<MemberId>& awaited() const { return m_awaited; }
  void on_answered(PromotionOutcome outcome, TimePoint now);

  /// Returns true if an order for `member` may still take effect.
  bool may_promote(const MemberId& member, TimePoint now) const;
  /// Returns true if an order of this host for another member than `leader` may still take effect.
  bool may_promote_other_than(const MemberId& leader, TimePoint now) const;
  /// Returns the members, other than `leader`, whose promotion by this host may still take effect.
  std::vector<MemberId> outstanding_except(const MemberId& leader, TimePoint now) const;
  /// Returns true if an order of a former holder of the duty may still take effect.
  bool former_orders_may_act(TimePoint now) const;
  /// Returns true if an order of a former holder that the platform accepted just before it saw this holder's token may
  /// still take effect. Such a holder had stopped all replicas.
  bool former_orders_may_be_accepted(TimePoint now) const;
  /// Returns the highest token of this host's unanswered orders for other members than `leader`. Only an accepted order
  /// with a higher one ends them before their time.
  std::optional<FencingToken> highest_token_except(const MemberId& leader, TimePoint now) const;
  /// Returns true if `token` is higher than those of all unanswered orders for other members than `leader`.
  bool is_fenced_by(FencingToken token, const MemberId& leader, TimePoint now) const;

 private:
  struct Order {
    FencingToken token;
    /// When the order can no longer take effect.
    TimePoint ends_at;
    /// The platform has accepted it, so that a higher token no longer stops it.
    bool accepted = false;
  };

  /// Returns true if the platform has seen a higher token than that of the order.
  bool is_fenced(const Order& order) const;
  bool is_outstanding(const Order& order, TimePoint now) const;

  bool m_tokens_are_checked;
  /// Last outstanding order for each member.
  std::map<MemberId, Order> m_orders;
  std::optional<MemberId> m_awaited;
  FencingToken m_awaited_token;
  /// Highest token with which the platform has accepted an order of this host.
  FencingToken m_accepted_token;
  TimePoint m_accepted_at;
  /// When the platform accepted the first order since this host took the duty.
  TimePoint m_fenced_at;
  std::optional<FencingToken> m_duty_token;
  TimePoint m_duty_began;
};

}  // namespace teaselrudder
