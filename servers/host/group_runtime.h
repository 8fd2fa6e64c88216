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

/// A piece of work of a member ended.
struct MemberWorkEnded {
  MemberId member;
  WorkOutcome outcome;
};

/// What a group's runtime tells the host.
using GroupNotice = std::variant<AskSuspicion, ConfirmationDone, PrimaryChanged, MemberWorkEnded>;

/// This host's place among the owners of a group.
struct GroupOwnership {
  /// True if this host owns the group in its failure domain.
  bool owner = false;
  /// Place among the sorted owners of all failure domains, and their number.
  std::size_t rank = 0;
  std::size_t owners = 1;
  /// Members whose queue and connections belong to this host.
  std::set<MemberId> owned_members;
};

/// One group on this host: its decisions, its control connections and the executors of its members.
class GroupRuntime {
 public:
  /// `prefix` marks the ids of this group's connections.
  GroupRuntime(const GroupConfiguration& configuration, std::uint32_t prefix, HostContext& context, TimePoint now);

  /// Takes a changed configuration of the group.
  void update_configuration(const GroupConfiguration& configuration, TimePoint now);

  /// Takes this host's place among the owners and adapts the bounds on connections.
  void update_ownership(const GroupOwnership& ownership, TimePoint now);

  void on_opened(ConnectionId connection, const tl::expected<void, UpstreamError>& outcome, TimePoint now);
  void on_completed(ConnectionId connection, OperationId operation, tl::expected<UpstreamResult, UpstreamError> outcome,
                    TimePoint now);
  void on_closed(ConnectionId connection, TimePoint now);
  void on_tick(TimePoint now);

  /// Carries out what the group decided since the last call.
  void carry_out_actions(TimePoint now);

  /// Returns what happened since the last call.
  std::vector<GroupNotice> take_notices();

  /// Returns when on_tick() is due next.
  TimePoint next_wakeup() const;

  DatabaseGroup& group() { return m_group; }
  const DatabaseGroup& group() const { return m_group; }
  const GroupConfiguration& configuration() const { return m_configuration; }
  const GroupOwnership& ownership() const { return m_ownership; }

  /// Returns the executor of `member`, or null if the group has no such member.
  MemberExecutor* find_executor(const MemberId& member);

  /// Returns the expected wait of new work for each member.
  std::map<MemberId, Duration> expected_waits(Urgency urgency, TimePoint now) const;

  /// Tells whether work is queued, running or held by a transaction.
  bool busy() const;

  std::uint32_t prefix() const { return m_prefix; }

 private:
  struct MemberRuntime {
    std::unique_ptr<ControlChannel> control;
    std::unique_ptr<MemberExecutor> executor;
  };

  void add_member(const MemberConfiguration& member);
  std::uint32_t connection_limit(const MemberConfiguration& member) const;
  void carry_out(const GroupAction& action, TimePoint now);
  void submit_control(const MemberId& member, ControlOrder order, UpstreamOperation operation, bool new_connection);
  void collect_results(TimePoint now);
  void deliver(const MemberId& member, const ControlResult& result, TimePoint now);
  Endpoint endpoint_of(const MemberId& member) const;
  MemberRuntime* find_owner(ConnectionId connection);

  GroupConfiguration m_configuration;
  std::uint32_t m_prefix;
  HostContext& m_context;
  IdSource m_ids;
  HostId m_candidate;
  DatabaseGroup m_group;
  GroupOwnership m_ownership;
  std::map<MemberId, MemberRuntime> m_members;
  std::vector<GroupNotice> m_notices;
};

}  // namespace teaselrudder
