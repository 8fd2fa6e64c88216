#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "core/ids.h"
#include "core/log_point.h"
#include "core/ports/quota_messages.h"
#include "core/time.h"

namespace teaselrudder {

/// What one host has observed about the primary of one group. Ages are relative to the sending of the report.
struct PrimaryEvidence {
  GroupId group;
  MemberId primary;
  /// Zero if no member has reported it to the host yet.
  Term term;
  /// Time since the primary last answered this host; nullopt if it never did.
  std::optional<Duration> last_answer_age;
  /// Time since the oldest unanswered attempt to reach the primary; zero if there is none.
  Duration unanswered_for{0};
  /// Time since the last acknowledged commit through this host; nullopt if there was none.
  std::optional<Duration> commit_age;
  /// Time that the oldest unanswered commit has been waiting; zero if there is none.
  Duration commit_stalled_for{0};
  /// Newest known position of the primary's log.
  std::optional<LogPoint> position;
  /// Time since the host sent the request whose answer contained `position`.
  Duration position_age{0};
  /// Remaining time of the newest lease on reading at `primary` in `term`, measured from the sending of the report;
  /// zero if the sender has no valid lease. Hosts pass on leases that they have received.
  Duration lease_remaining{0};
  /// Duty token of the host that granted the lease; zero if there is none.
  std::uint64_t lease_token = 0;
  /// True if statements at the sender wait for a lease. The holder of the failover duty answers with a report at once.
  bool requests_lease = false;
  /// True if the sender has recently seen a sign that `primary` is not the primary, for example a refused write.
  bool doubts_primary = false;
  /// True if the sender has no connection to `primary` because the primary's connection limit was reached. Hosts with
  /// more connections than their even share then close the others.
  bool lacks_connection = false;
  /// Term of the primary that the holder of the failover duty is replacing; zero if the sender knows of none. The
  /// sender has dropped the leases on that primary, so it passes on no acknowledgement until a new one is granted.
  Term replaced_term;
  /// Term of a primary on which the leases were revoked at the sender, while none has been granted since; zero if there
  /// is none. Its replacement may still take effect, also if nobody holds the failover duty any more.
  Term revoked_term;
  /// Highest log position that a caller was told to be committed, as far as the sender knows; zero if it knows of none.
  LogPoint acknowledged;
};

/// Report from one host to another, sent several times per second without acknowledgement.
struct EvidenceReport {
  HostId sender;
  /// Send time on the sender's clock, in microseconds. The receiver echoes it in its next report.
  std::int64_t sent_at_us = 0;
  /// `sent_at_us` of the newest report that the sender received from the receiver; zero if there is none. The sum of
  /// the echo and `echo_delay` is the earliest time, on the receiver's own clock, at which this report can have been
  /// sent. From it the receiver dates the log positions in the report, without synchronized clocks and even if the
  /// report arrives late.
  std::int64_t echo_us = 0;
  /// Time between the arrival of the echoed report and the sending of this one.
  Duration echo_delay{0};
  /// Store revision at which the sender acquired the failover duty, that is, the right to replace failed primaries;
  /// zero if it does not hold the duty.
  std::uint64_t duty_token = 0;
  /// Highest `duty_token` that the sender has used or received. A former holder of the duty that the new holder does
  /// not reach learns from it that it was replaced.
  std::uint64_t newest_duty_token = 0;
  /// True if the sender holds the failover duty or has recently received a report of its holder.
  bool hears_duty_holder = false;
  /// True if the platform's store has answered the sender recently.
  bool store_current = false;
  /// True if the sender is stopping gracefully. It then has no vote in decisions for the fleet.
  bool stopping = false;
  std::vector<PrimaryEvidence> groups;
};

/// Receives messages from other hosts.
class EvidenceEvents {
 public:
  EvidenceEvents() = default;
  EvidenceEvents(const EvidenceEvents&) = delete;
  EvidenceEvents& operator=(const EvidenceEvents&) = delete;
  virtual ~EvidenceEvents() = default;

  virtual void on_evidence(const EvidenceReport& report, TimePoint now) = 0;
  virtual void on_quota_message(const QuotaMessage& message, TimePoint now) = 0;
};

/// Sends messages to other hosts. They can be lost, delayed or duplicated.
class EvidencePort {
 public:
  EvidencePort() = default;
  EvidencePort(const EvidencePort&) = delete;
  EvidencePort& operator=(const EvidencePort&) = delete;
  virtual ~EvidencePort() = default;

  virtual void send_report(const Endpoint& host, const EvidenceReport& report) = 0;
  virtual void send_quota_message(const Endpoint& host, const QuotaMessage& message) = 0;
};

}  // namespace teaselrudder
