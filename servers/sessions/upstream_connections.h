#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/metrics/counters.h"
#include "core/ports/caller_session_port.h"
#include "core/ports/member_link_port.h"
#include "servers/sessions/connection_setup.h"
#include "servers/sessions/upstream_group.h"

namespace teaselrudder {

/// The command that an expected reply answers.
enum class ReplyPurpose {
  kSetup,      // Sets a session variable or resets the connection. The statement waits for it.
  kPrepare,    // Prepares the statement that follows.
  kBegin,      // Opens a transaction.
  kStatement,  // The caller's statement.
  kRollback,   // Rolls back a transaction.
  kStepDown,   // Tells a former primary to step down.
};

/// A reply that has not arrived yet.
struct ExpectedReply {
  ReplyPurpose purpose = ReplyPurpose::kStatement;
  TimePoint sent_at;
};

/// A connection of this host to a member.
struct MemberConnection {
  ConnectionId id;
  GroupId group;
  MemberId member;
  /// Client account whose statements the connection runs; empty for statements of no account. Members learn the account
  /// when the connection is opened, so it never changes.
  AccountId account;
  bool open = false;
  ConnectionSessionState session_state;
  std::deque<ExpectedReply> expected;
  /// The session that uses the connection for a statement or an open transaction.
  std::optional<SessionId> session;
  bool in_transaction = false;
  /// The transaction was begun by the caller. The connection stays with the session until the transaction ends.
  bool pinned = false;
  TimePoint opened_at;
  TimePoint used_at;
  TimePoint last_reply_at;
};

/// Pool of this host's connections to the members of all groups. Connections are opened on demand, up to this host's
/// share of each member's connection limit, and closed after some idle time if there are more than the host keeps when
/// idle.
class UpstreamConnections {
 public:
  /// Timeout of a connection attempt. A handshake takes tens of milliseconds.
  static constexpr Duration kOpenTimeout = std::chrono::milliseconds(700);
  /// Time after which a connection is closed if a reply on it is outstanding and no session waits for it any more.
  static constexpr Duration kAbandonTimeout = std::chrono::seconds(3);
  /// Delay before the next attempt after a member refused a connection because of its connection limit.
  static constexpr Duration kLimitRetryDelay = std::chrono::milliseconds(60);
  static constexpr Duration kMinConnectBackoff = std::chrono::milliseconds(50);
  static constexpr Duration kMaxConnectBackoff = std::chrono::milliseconds(400);
  /// Idle time after which a connection above this host's idle share is closed.
  static constexpr Duration kIdleTimeout = std::chrono::seconds(1);
  /// The same if the idle share is zero. Long enough to reuse the connection for the next statement of a burst, and
  /// short enough that all hosts together stay within a member's limit.
  static constexpr Duration kIdleTimeoutWithoutShare = std::chrono::milliseconds(300);
  /// The same if the idle share is zero and the member's connections are scarce. Each idle connection then takes the
  /// place of another host's.
  static constexpr Duration kIdleTimeoutNearLimit = std::chrono::milliseconds(50);
  /// Percentage of a member's connection limit that may be used by one idle connection per host. The remainder is for
  /// hosts under peak load.
  static constexpr std::size_t kMaxIdleSharePercent = 80;
  /// Time for which a member keeps the connections of a host that has lost power.
  static constexpr Duration kLingeringConnectionTime = std::chrono::seconds(3);

  /// All references must outlive the object. `receiver` receives the events of the connections.
  UpstreamConnections(MemberLinkPort& links, MemberLinkEvents& receiver, Counters& counters);

  /// Sets the number of hosts that share the connection limits of the members.
  void set_fleet_size(std::size_t hosts) { m_fleet_size = hosts == 0 ? 1 : hosts; }

  /// Returns the connection, or null if it has been closed.
  MemberConnection* find(ConnectionId connection);

  /// Returns the idle connection of `account` to `member` that needs the fewest setup commands for a session with
  /// `values`, or null if none is idle.
  MemberConnection* pick_idle(const UpstreamMember& member, const AccountId& account, const SessionValues& values);

  /// Returns an idle connection to `member` of any account, or null if none is idle.
  MemberConnection* pick_idle_of_any_account(const UpstreamMember& member);

  /// Returns the connection limit of one member divided evenly among all hosts; at least one.
  std::size_t even_share(const UpstreamGroup& group) const;

  /// Returns the number of connections to one member that this host keeps when they are idle: half of its even share.
  /// If all hosts lose power, members keep the old connections for kLingeringConnectionTime, and the other half must
  /// suffice until then. If half of the even share rounds down to zero, the result is one as long as one connection per
  /// host fits into kMaxIdleSharePercent percent of the limit. Otherwise it is zero, and connections are opened when a
  /// statement needs them.
  std::size_t idle_share(const UpstreamGroup& group) const;

  /// Returns the maximum number of connections that this host opens to one member: its even share plus one, because
  /// hosts rarely reach their peak load together. For kLingeringConnectionTime after the first connection it is the
  /// idle share (at least one) plus one, because members may still keep connections of an earlier process of this host.
  /// While the member's connections are scarce it is at most the even share, so that every host gets some.
  std::size_t limit(const UpstreamGroup& group, const UpstreamMember& member, TimePoint now) const;

  /// Closes idle connections to `member` above the limit.
  void close_above_limit(UpstreamGroup& group, const UpstreamMember& member, TimePoint now);

  /// Closes the connection of another account to `member` that has been idle for the longest time, if this host has as
  /// many connections to the member as it may open. A connection of `account` can then be opened in its place.
  void close_idle_of_other_account(UpstreamGroup& group, const UpstreamMember& member, const AccountId& account,
                                   TimePoint now);

  /// Returns true if one more connection of `account` to `member` may be opened now.
  bool may_open(const UpstreamGroup& group, const UpstreamMember& member, const AccountId& account,
                TimePoint now) const;

  /// Starts a connection attempt to `member` for statements of `account`.
  void open(UpstreamGroup& group, UpstreamMember& member, const AccountId& account, TimePoint now);

  /// Handles a successful connection attempt.
  void on_opened(UpstreamGroup& group, MemberConnection& connection, TimePoint now);

  /// Handles a failed connection attempt and removes the connection.
  void on_open_failed(UpstreamGroup& group, const MemberConnection& connection, MemberLinkErrorKind kind,
                      TimePoint now);

  /// Sends `commands`. `purposes` has one entry per command and tells how its reply is handled.
  void send(UpstreamGroup& group, MemberConnection& connection, const std::vector<MemberCommand>& commands,
            const std::vector<ReplyPurpose>& purposes, TimePoint now);

  /// Removes and returns the oldest expected reply of the connection, or returns nothing if none is expected.
  std::optional<ExpectedReply> take_expected(UpstreamGroup& group, MemberConnection& connection, TimePoint now);

  /// Closes the connection and removes it from the pool.
  void close(UpstreamGroup& group, ConnectionId connection);

  /// Removes a connection that the other side closed.
  void forget(UpstreamGroup& group, const MemberConnection& connection);

  /// Returns the number of connections to `member` that are held by callers' transactions.
  std::size_t pinned_count(const UpstreamMember& member) const;

  /// Returns the group's connections without a reply since `since` that no session uses: those that are still being
  /// opened, and idle ones, which may be dead.
  std::vector<ConnectionId> unanswered_since(const UpstreamGroup& group, TimePoint since) const;

  /// Returns the connections to give up: attempts that exceeded kOpenTimeout, and open connections whose oldest reply,
  /// for which no session waits any more, exceeded kAbandonTimeout.
  std::vector<ConnectionId> overdue(TimePoint now) const;

  /// Returns the idle connections to close: those above the idle share whose idle timeout has passed, and all to a
  /// member that is leaving and not the primary.
  std::vector<ConnectionId> excess_connections(const UpstreamGroup& group, const UpstreamMember& member,
                                               TimePoint now) const;

  std::size_t size() const { return m_connections.size(); }

 private:
  static bool is_idle(const MemberConnection& connection);
  bool is_opening(const UpstreamMember& member, const AccountId& account) const;
  Duration idle_timeout(const UpstreamGroup& group, const UpstreamMember& member, TimePoint now) const;

  MemberLinkPort& m_links;
  MemberLinkEvents& m_receiver;
  Counters& m_counters;
  std::unordered_map<ConnectionId, MemberConnection> m_connections;
  std::uint64_t m_next_id = 1;
  std::size_t m_fleet_size = 1;
  std::optional<TimePoint> m_first_opened_at;
};

}  // namespace teaselrudder
