#pragma once

#include <map>
#include <memory>
#include <set>
#include <variant>
#include <vector>

#include "core/config/configuration.h"
#include "servers/group/database_group.h"
#include "servers/host/control_channel.h"
#include "servers/host/host_context.h"
#include "servers/host/member_executor.h"

namespace teaselrudder {

/// Work that was submitted to a member has ended.
struct MemberWorkEnded {
  MemberId member;
  WorkOutcome outcome;
};

/// Events that a group reports to the host.
using GroupNotification = std::variant<AskSuspicion, ConfirmationDone, PrimaryChanged, MemberWorkEnded>;

/// The role of this host in a group. In each failure domain one host owns the group: it monitors the members, and the
/// queues of the members in its domain are on it.
struct GroupOwnership {
  /// True if this host owns the group in its failure domain.
  bool owner = false;
  /// Position in the sorted list of the group's owners, and the length of that list. A host that is no owner has the
  /// position after the last owner.
  std::size_t rank = 0;
  std::size_t owners = 1;
  /// Members in this host's failure domain, if it owns the group.
  std::set<MemberId> owned_members;
};

/// One database group on this host: the decision logic (DatabaseGroup), and a control connection and an executor for
/// each member.
class GroupRuntime {
 public:
  /// `prefix` becomes the prefix of this group's connection ids (see IdSource) and must be unique among the groups.
  GroupRuntime(const GroupConfiguration& configuration, std::uint32_t prefix, HostContext& context, TimePoint now);

  /// Applies a changed configuration: adds new members, and fails the work of members that were removed or have moved
  /// to another endpoint.
  void update_configuration(const GroupConfiguration& configuration, TimePoint now);

  /// Sets the role of this host in the group, and the slots and connection limits that follow from it.
  void update_ownership(const GroupOwnership& ownership, TimePoint now);

  /// Pass an event of an upstream connection to the control connection or executor that it belongs to.
  void on_opened(ConnectionId connection, const tl::expected<void, UpstreamError>& outcome, TimePoint now);
  void on_completed(ConnectionId connection, OperationId operation, tl::expected<UpstreamResult, UpstreamError> outcome,
                    TimePoint now);
  void on_closed(ConnectionId connection, TimePoint now);
  /// Runs the timers of the executors and of the decision logic that have expired.
  void on_tick(TimePoint now);

  /// Executes the actions that the decision logic has requested since the last call.
  void execute_actions(TimePoint now);

  /// Returns the notifications since the last call.
  std::vector<GroupNotification> take_notifications();

  /// Returns when on_tick() is due next.
  TimePoint next_wakeup() const;

  DatabaseGroup& group() { return m_group; }
  const DatabaseGroup& group() const { return m_group; }
  const GroupConfiguration& configuration() const { return m_configuration; }
  const GroupOwnership& ownership() const { return m_ownership; }

  /// Returns the executor of `member`, or null if the group has no such member.
  MemberExecutor* find_executor(const MemberId& member);

  /// Returns how long new work of `urgency` is expected to wait at each member. Members in other failure domains get a
  /// surcharge for the network round trip.
  std::map<MemberId, Duration> expected_waits(Urgency urgency, TimePoint now) const;

  /// Returns true while work is queued or running, or a transaction is open.
  bool busy() const;

  std::uint32_t prefix() const { return m_prefix; }

 private:
  struct MemberRuntime {
    std::unique_ptr<ControlChannel> control;
    std::unique_ptr<MemberExecutor> executor;
  };

  void add_member(const MemberConfiguration& member);
  std::uint32_t connection_limit(const MemberConfiguration& member) const;
  void execute_action(const GroupAction& action, TimePoint now);
  void submit_control(const MemberId& member, ControlCommand command, UpstreamOperation operation, bool new_connection);
  void collect_results(TimePoint now);
  void process_control_result(const MemberId& member, const ControlResult& result, TimePoint now);
  Endpoint endpoint_of(const MemberId& member) const;
  MemberRuntime* find_owner(ConnectionId connection);

  GroupConfiguration m_configuration;
  std::uint32_t m_prefix;
  HostContext& m_context;
  IdSource m_ids;
  // Name under which this process asks members for terms.
  HostId m_candidate;
  DatabaseGroup m_group;
  GroupOwnership m_ownership;
  std::map<MemberId, MemberRuntime> m_members;
  std::vector<GroupNotification> m_notifications;
};

}  // namespace teaselrudder
