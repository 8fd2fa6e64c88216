#pragma once

#include <string_view>

#include "core/ids.h"
#include "core/time.h"

namespace teaselrudder {

/// Token that increases each time the failover duty changes hands, so that calls of a former holder are rejected.
using FencingToken = StrongType<struct FencingTokenTag, std::uint64_t>;

/// Outcome of a request to promote a member.
enum class PromotionOutcome {
  kDone,      // The platform accepted the promotion; the member is the primary or becomes it shortly.
  kRejected,  // The fencing token is outdated or the member is not running.
  kRefused,   // The platform is overloaded or unavailable and did nothing.
  kUnknown,   // No usable answer arrived; the promotion may still be carried out.
};

/// Returns the name of `outcome` as written to the log.
constexpr std::string_view to_string(PromotionOutcome outcome) {
  switch (outcome) {
    case PromotionOutcome::kDone:
      return "done";
    case PromotionOutcome::kRejected:
      return "rejected";
    case PromotionOutcome::kRefused:
      return "refused";
    case PromotionOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

/// Receives the outcomes of promotions.
class PromotionEvents {
 public:
  PromotionEvents() = default;
  PromotionEvents(const PromotionEvents&) = delete;
  PromotionEvents& operator=(const PromotionEvents&) = delete;
  virtual ~PromotionEvents() = default;

  virtual void on_promotion(const GroupId& group, const MemberId& member, PromotionOutcome outcome, TimePoint now) = 0;
};

/// Requests the platform to promote members to primary.
class PromotionPort {
 public:
  PromotionPort() = default;
  PromotionPort(const PromotionPort&) = delete;
  PromotionPort& operator=(const PromotionPort&) = delete;
  virtual ~PromotionPort() = default;

  /// Requests that `member` becomes the primary of `group`. `holder` is the host that holds the failover duty and
  /// `token` its fencing token. One on_promotion() event follows, never before the call returns.
  virtual void promote(const GroupId& group, const MemberId& member, const HostId& holder, FencingToken token,
                       PromotionEvents& receiver) = 0;
};

}  // namespace teaselrudder
