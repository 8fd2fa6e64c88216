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

/// One request on this host.
using ExecutionId = StrongType<struct ExecutionIdTag, std::uint64_t>;

/// Where a request came from: a caller of this host, or another host.
using Origin = std::variant<CallerRequestId, PeerCallId>;

/// What the work that a request has at a member does.
enum class WorkPurpose { kRun, kBegin, kStep, kCommit, kRollback, kSettle };

/// What a confirmation of a request decides.
enum class ConfirmationPurpose { kWrite, kRead, kSettledRan, kSettledVoid };

/// A request from arrival to its one answer.
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

  /// Attempts at hosts or members so far.
  std::uint32_t attempts = 0;
  /// Members that proved unfit for this request.
  std::set<MemberId> excluded_members;
  /// Hosts that could not be reached for this request.
  std::set<HostId> excluded_hosts;
  /// Why the request waits or was last thrown back; the refusal if nothing helps before the deadline.
  Refusal pending_refusal;
  /// Some byte of the request may have reached an upstream and its effect is not excluded.
  bool may_have_run = false;

  /// The work at a member, while there is one.
  std::optional<WorkId> work;
  WorkPurpose purpose = WorkPurpose::kRun;
  MemberId member;
  Term term;
  /// The execution that the read shares with others, if it does.
  std::optional<SharedExecutionId> shared;

  std::optional<ConfirmationId> confirmation;
  ConfirmationPurpose confirmation_purpose = ConfirmationPurpose::kWrite;
  /// The answer that is released by the confirmation.
  RequestAnswer answer;

  /// The number of the open transaction that the request is a step of.
  std::optional<std::uint64_t> transaction;
};

}  // namespace teaselrudder
