#pragma once

#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "servers/host/execution.h"

namespace teaselrudder {

/// A request that was forwarded to another host.
struct ForwardCall {
  ExecutionId execution;
  HostId host;
};

/// A liveness probe of another host.
struct ProbeCall {
  HostId host;
};

/// A query to another owner of the group, whether it suspects the primary too.
struct SuspicionCall {
  GroupId group;
  Term term;
  HostId host;
};

/// A request to another host for its configuration.
struct ConfigurationCall {
  HostId host;
};

/// What an unanswered call to another host is for.
using CallPurpose = std::variant<ForwardCall, ProbeCall, SuspicionCall, ConfigurationCall>;

/// The unanswered calls of this host to other hosts.
///
/// A forwarded request may take as long as its deadline allows, so its timeout does not show that the other host has
/// stopped working. The table therefore also tells which hosts have forwarded requests and have not answered any call
/// for a while. They are to be probed.
class PeerCallTable {
 public:
  /// Time without an answer after which a host with forwarded requests is probed. Most requests take less.
  static constexpr Duration kSilenceUntilProbe = std::chrono::milliseconds(300);

  void add(PeerCallId call, CallPurpose purpose);
  void add_forward(PeerCallId call, ForwardCall forward, TimePoint now);

  /// Removes the call and returns its purpose; returns nothing if it is not known. `answered` is true if the other host
  /// has answered, false if the call failed.
  std::optional<CallPurpose> take(PeerCallId call, bool answered, TimePoint now);

  /// Returns the hosts with forwarded requests that have not answered any call for kSilenceUntilProbe and to which no
  /// probe is under way.
  std::vector<HostId> silent_hosts(TimePoint now) const;

  /// Returns when silent_hosts() may contain another host.
  std::optional<TimePoint> next_check() const;

  /// Removes the requests that were forwarded to `host` and returns them. Answers that arrive later are ignored.
  std::vector<ExecutionId> take_forwards(const HostId& host);

 private:
  /// The calls to one host that tell whether it still works.
  struct HostCalls {
    /// Forwarded requests with the time of their sending. Ids increase, so the first one is the oldest.
    std::map<PeerCallId, TimePoint> forwards;
    std::set<PeerCallId> probes;
    TimePoint answered_at;
  };

  /// Returns when the host counts as silent; nothing if no forwarded request waits or a probe is under way.
  static std::optional<TimePoint> silent_at(const HostCalls& calls);
  void remove_from_host(const HostId& host, PeerCallId call);

  std::map<PeerCallId, CallPurpose> m_calls;
  std::map<HostId, HostCalls> m_hosts;
};

}  // namespace teaselrudder
