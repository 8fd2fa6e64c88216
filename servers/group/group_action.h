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

/// One status request on a member's control connection. Ids ascend within a DatabaseGroup and are never reused.
using ProbeId = StrongType<struct ProbeIdTag, std::uint64_t>;

/// One open confirmation of a DatabaseGroup. Never reused.
using ConfirmationId = StrongType<struct ConfirmationIdTag, std::uint64_t>;

/// The member that leads a group and the term in which it does.
struct PrimaryView {
  MemberId member;
  Term term;

  friend bool operator==(const PrimaryView&, const PrimaryView&) = default;
};

/// The last known status of a member.
struct MemberView {
  MemberStatus status;
  /// A time before the status was requested.
  TimePoint requested_at;
  /// The time at which the report arrived.
  TimePoint reported_at;
};

/// Everything confirmed in the group before `requested_at` lies at or before `point`.
struct FreshnessSample {
  LogPoint point;
  TimePoint requested_at;

  friend bool operator==(const FreshnessSample&, const FreshnessSample&) = default;
};

/// Intervals and bounds of a group's monitoring, failover and confirmation.
struct GroupTimings {
  /// Time from one probe of a member to the next.
  Duration probe_interval = std::chrono::milliseconds(250);
  /// A probe without an answer for this long makes its connection suspect.
  Duration probe_timeout = std::chrono::milliseconds(400);
  /// A member without a report for this long is suspected, provided that a new connection failed as well.
  Duration suspicion_timeout = std::chrono::milliseconds(750);
  /// An owner whose peers have not answered a suspicion query for this long decides alone.
  Duration suspicion_reply_timeout = std::chrono::milliseconds(200);
  /// Window over which the owners of a group spread their failover attempts.
  Duration jitter_window = std::chrono::milliseconds(200);
  /// An attempt without a majority of grants for this long has failed.
  Duration raise_timeout = std::chrono::milliseconds(500);
  /// A promotion that no report shows for this long has failed.
  Duration promote_timeout = std::chrono::milliseconds(1000);
  /// Time for which an owner leaves a term that another candidate has just raised undisturbed. A shorter time lets
  /// owners interrupt each other's promotions.
  Duration competing_attempt_delay = std::chrono::milliseconds(600);
  /// Delay before a failed attempt is repeated; doubles up to the maximum. The jitter comes on top.
  Duration retry_delay_min = std::chrono::milliseconds(50);
  Duration retry_delay_max = std::chrono::milliseconds(1000);
  /// Least time between two Follow orders to one member.
  Duration follow_interval = std::chrono::milliseconds(500);
  /// Delay before a member that has not reached a confirmation's position is asked again; doubles up to the maximum.
  Duration confirm_delay_min = std::chrono::milliseconds(1);
  Duration confirm_delay_max = std::chrono::milliseconds(25);
  /// Bound on open confirmations; a further one fails at once.
  std::size_t max_open_confirmations = 8192;
};

/// Sends ReportStatus on the member's control connection. With `new_connection` the old connection is closed first.
/// The result is delivered through on_probe_report or on_probe_failed.
struct SendProbe {
  MemberId member;
  ProbeId probe;
  bool new_connection = false;
};

/// Sends RaiseTerm with this host as the candidate.
struct SendRaiseTerm {
  MemberId member;
  Term term;
};

/// Sends Promote with this host as the candidate.
struct SendPromote {
  MemberId member;
  Term term;
};

/// Sends Follow with the address of `primary`.
struct SendFollow {
  MemberId member;
  Term term;
  MemberId primary;
};

/// Asks the group's other owners whether they suspect `member`, which is or may be the primary. The answers are
/// delivered together through on_suspicion_replies.
struct AskSuspicion {
  MemberId member;
  Term term;
};

/// A confirmation ended. It failed if its term is superseded, its deadline passed or too many were open.
struct ConfirmationDone {
  ConfirmationId confirmation;
  bool confirmed = false;
};

/// The group has another primary, or none.
struct PrimaryChanged {
  std::optional<MemberId> primary;
  Term term;
  std::string cause;
};

/// What a DatabaseGroup wants done outside.
using GroupAction =
    std::variant<SendProbe, SendRaiseTerm, SendPromote, SendFollow, AskSuspicion, ConfirmationDone, PrimaryChanged>;

}  // namespace teaselrudder
