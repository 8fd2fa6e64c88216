#pragma once

#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <variant>

#include "core/request.h"
#include "servers/group/group_action.h"
#include "servers/host/charts.h"
#include "servers/scheduling/member_queue.h"
#include "servers/scheduling/shared_reads.h"

namespace teaselrudder {

/// Id of a request on this host. Unlike RequestId it has no meaning on other hosts.
using ExecutionId = StrongType<struct ExecutionIdTag, std::uint64_t>;

/// The sender of a request: a caller of this host, or another host that forwarded it.
using Origin = std::variant<CallerRequestId, PeerCallId>;

/// The kind of operation that a request runs at a member. kRun runs the statements of a request outside of
/// transactions; kResolveWrite finds out whether a write of unknown outcome has run, and prevents it from running later
/// if it has not.
enum class WorkPurpose { kRun, kBegin, kStep, kCommit, kRollback, kResolveWrite };

/// What is known once a majority has confirmed the log position: a write is durable (kWrite), a read was served by the
/// current primary (kRead), or a write of unknown outcome has run (kResolvedRan) or never will (kResolvedVoid).
enum class ConfirmationPurpose { kWrite, kRead, kResolvedRan, kResolvedVoid };

/// The state of a request that has not been answered.
struct Execution {
  Execution(ExecutionId execution_id, const Origin& request_origin, RequestEnvelope request,
            std::shared_ptr<const StateChart> request_chart, TimePoint now)
      : id(execution_id),
        origin(request_origin),
        envelope(std::move(request)),
        arrived(now),
        deadline(now + envelope.remaining),
        chart(std::move(request_chart)) {}

  ExecutionId id;
  Origin origin;
  RequestEnvelope envelope;
  TimePoint arrived;
  TimePoint deadline;
  RequestChart chart;

  /// Number of failed attempts.
  std::uint32_t attempts = 0;
  /// Members that failed to serve this request and are not chosen again until it has waited for one.
  std::set<MemberId> excluded_members;
  /// Hosts that could not be reached or rejected the request, and are not tried again.
  std::set<HostId> excluded_hosts;
  /// Why the request waits or its last attempt failed. It becomes the refusal if no attempt succeeds before the
  /// deadline.
  Refusal pending_refusal;
  /// True if the request was sent to an upstream or to another host and may have taken effect.
  bool may_have_run = false;

  /// The work that is queued or running at `member`, if any.
  std::optional<WorkId> work;
  WorkPurpose purpose = WorkPurpose::kRun;
  MemberId member;
  Term term;
  /// The execution whose result the read shares with identical reads, if any.
  std::optional<SharedExecutionId> shared;

  std::optional<ConfirmationId> confirmation;
  ConfirmationPurpose confirmation_purpose = ConfirmationPurpose::kWrite;
  /// The answer, kept until the confirmation ends.
  RequestAnswer answer;

  /// The number of the open transaction that the request belongs to (see OpenTransaction::number).
  std::optional<std::uint64_t> transaction;
};

}  // namespace teaselrudder
