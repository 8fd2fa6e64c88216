#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "core/ids.h"
#include "core/log_point.h"
#include "core/member_status.h"
#include "core/strong_type.h"
#include "core/time.h"

namespace teaselrudder {

/// Identifies one status request on a member's control connection. Ids ascend within a DatabaseGroup and are never
/// reused.
using ProbeId = StrongType<struct ProbeIdTag, std::uint64_t>;

/// Identifies one confirmation of a DatabaseGroup: the check that a majority of the members holds a log position. Never
/// reused.
using ConfirmationId = StrongType<struct ConfirmationIdTag, std::uint64_t>;

/// The member that leads a group and the term in which it does.
struct PrimaryView {
  MemberId member;
  Term term;

  friend bool operator==(const PrimaryView&, const PrimaryView&) = default;
};

/// The last status received from a member.
struct MemberView {
  MemberStatus status;
  /// Time at or before which the status was requested.
  TimePoint requested_at;
  /// Time at which the most recent report arrived, also if that report was too old to replace `status`.
  TimePoint reported_at;
};

/// A known position of the primary: everything confirmed in the group before `requested_at` lies at or before `point`.
/// A replica that has replayed `point` is therefore at most as stale as the time since `requested_at`.
struct FreshnessSample {
  LogPoint point;
  TimePoint requested_at;

  friend bool operator==(const FreshnessSample&, const FreshnessSample&) = default;
};

/// Intervals and limits of a group's monitoring, failover and confirmations. The owners of a group are the hosts that
/// monitor it and may replace its primary.
struct GroupTimings {
  /// Time from one probe of a member to the next.
  Duration probe_interval = std::chrono::milliseconds(250);
  /// A probe without an answer for this long has failed; the next probe uses a new connection.
  Duration probe_timeout = std::chrono::milliseconds(400);
  /// A member without a report for this long is suspected to be down if a new connection to it failed as well.
  Duration suspicion_timeout = std::chrono::milliseconds(750);
  /// If the other owners have not answered a suspicion query for this long, the owner decides without them.
  Duration suspicion_reply_timeout = std::chrono::milliseconds(200);
  /// Window over which the owners of a group spread the start of their failover attempts.
  Duration jitter_window = std::chrono::milliseconds(200);
  /// An attempt that has no majority of grants for its term after this time has failed.
  Duration raise_timeout = std::chrono::milliseconds(500);
  /// A promotion that no status report has shown after this time has failed.
  Duration promote_timeout = std::chrono::milliseconds(1000);
  /// After another candidate raised a term, an owner starts no attempt of its own for this time. With a shorter time
  /// owners interrupt each other's promotions.
  Duration competing_attempt_delay = std::chrono::milliseconds(600);
  /// Delay before a failed attempt is repeated; doubles up to the maximum. The jitter is added to it.
  Duration retry_delay_min = std::chrono::milliseconds(50);
  Duration retry_delay_max = std::chrono::milliseconds(1000);
  /// Minimum time between two Follow orders to one member.
  Duration follow_interval = std::chrono::milliseconds(500);
  /// Delay before a member that has not reached a confirmation's position is probed again; doubles up to the maximum.
  Duration confirm_delay_min = std::chrono::milliseconds(1);
  Duration confirm_delay_max = std::chrono::milliseconds(25);
  /// Maximum number of open confirmations; a further one fails at once.
  std::size_t max_open_confirmations = 8192;
};

/// Sends ReportStatus on the member's control connection. With `new_connection` the old connection is closed first and
/// a new one is opened. The result is delivered through on_probe_report() or on_probe_failed().
struct SendProbe {
  MemberId member;
  ProbeId probe;
  bool new_connection = false;
};

/// Sends RaiseTerm with this host as the candidate. The result is delivered through on_raise_result().
struct SendRaiseTerm {
  MemberId member;
  Term term;
};

/// Sends Promote with this host as the candidate. The result is delivered through on_promote_result().
struct SendPromote {
  MemberId member;
  Term term;
};

/// Sends Follow with the address of `primary`. The result is delivered through on_follow_result().
struct SendFollow {
  MemberId member;
  Term term;
  MemberId primary;
};

/// Asks the group's other owners whether they too suspect `member`, which is or may be the primary, to be down. The
/// answers are delivered together through on_suspicion_replies().
struct AskSuspicion {
  MemberId member;
  Term term;
};

/// Reports the end of a confirmation. It failed if a majority is in a later term, a primary of a later term is known,
/// its deadline passed, or too many confirmations were open.
struct ConfirmationDone {
  ConfirmationId confirmation;
  bool confirmed = false;
};

/// Reports that the group has a different primary, or none. `cause` is a short word for the event log.
struct PrimaryChanged {
  std::optional<MemberId> primary;
  Term term;
  std::string cause;
};

/// What a DatabaseGroup asks its host to do: send messages and handle notifications.
using GroupAction =
    std::variant<SendProbe, SendRaiseTerm, SendPromote, SendFollow, AskSuspicion, ConfirmationDone, PrimaryChanged>;

}  // namespace teaselrudder
