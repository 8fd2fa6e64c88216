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

/// What a reply that a connection waits for belongs to.
enum class ReplyPurpose {
  kSetup,      // Brings values and prepared statements to those of the session.
  kCheck,      // Shows that the connection is not silent.
  kBegin,      // Opens a transaction.
  kStatement,  // The caller's statement.
  kRollback,   // Ends a transaction of which nothing is kept.
  kStatus,     // Asks who leads.
};

/// A reply that is due.
struct ExpectedReply {
  ReplyPurpose purpose = ReplyPurpose::kStatement;
  TimePoint sent_at;
};

/// One connection of this host to a member.
struct MemberConnection {
  ConnectionId id;
  GroupId group;
  MemberId member;
  bool open = false;
  ConnectionContent content;
  std::deque<ExpectedReply> expected;
  /// The session whose statement runs here or whose transaction is open here.
  std::optional<SessionId> session;
  bool in_transaction = false;
  /// The transaction is one that a replaced primary refuses, so that each success shows leadership.
  bool shows_leadership = false;
  /// The transaction is the caller's, so the connection stays with its session until the end.
  bool pinned = false;
  TimePoint opened_at;
  TimePoint used_at;
  TimePoint heard_at;
};

/// The connections of this host to the members of all groups: opened on demand within this host's share of each
/// member's limit, kept, and closed when idle beyond that share.
class UpstreamConnections {
 public:
  /// Time after which an attempt to connect counts as failed. A handshake takes tens of milliseconds.
  static constexpr Duration kOpenTimeout = std::chrono::milliseconds(700);
  /// Silence after which a connection that owes a reply to nobody who still waits is given up.
  static constexpr Duration kAbandonTimeout = std::chrono::seconds(3);
  /// Pause after a refusal for the connection limit.
  static constexpr Duration kLimitPause = std::chrono::milliseconds(60);
  static constexpr Duration kMinConnectPause = std::chrono::milliseconds(50);
  static constexpr Duration kMaxConnectPause = std::chrono::milliseconds(400);
  /// Time without use after which a connection above this host's resting share is closed.
  static constexpr Duration kIdleTimeout = std::chrono::seconds(1);
  /// The same where a host keeps none: long enough for the next statement of a busy moment, and short enough that the
  /// hosts together stay within a member's limit.
  static constexpr Duration kSparseIdleTimeout = std::chrono::milliseconds(300);
  /// The same after the member has refused a connection lately, when each idle one keeps another host out.
  static constexpr Duration kScarceIdleTimeout = std::chrono::milliseconds(50);
  static constexpr Duration kScarceFor = std::chrono::seconds(2);
  /// Percentage of a member's limit that the hosts together may keep open at rest with one connection each. What is
  /// left serves the hosts at their crest.
  static constexpr std::size_t kFullShare = 80;
  /// Time for which a member keeps connections of a host that has lost power.
  static constexpr Duration kLingerTime = std::chrono::seconds(3);

  /// All references must outlive the object. `receiver` gets the events of the connections.
  UpstreamConnections(MemberLinkPort& links, MemberLinkEvents& receiver, Counters& counters);

  /// Sets the number of hosts that share the members' connection limits.
  void set_fleet_size(std::size_t hosts) { m_fleet_size = hosts == 0 ? 1 : hosts; }

  /// Returns the connection, or null if it is gone.
  MemberConnection* find(ConnectionId connection);

  /// Returns the idle connection to `member` that needs the fewest commands for a session with `values`, or null.
  MemberConnection* pick_idle(const UpstreamMember& member, const SessionValues& values);

  /// Returns this host's even share of the connections of one member.
  std::size_t even_share(const UpstreamGroup& group) const;

  /// Returns the connections to one member that this host keeps when idle: half of its even share. If all hosts lose
  /// power, members keep their connections for kLingerTime, and the other half must suffice until then. Where half of
  /// the even share is none, it is one as long as one of each host fits in kFullShare of the limit. Otherwise it is
  /// zero, and connections are opened when they are needed.
  std::size_t resting_share(const UpstreamGroup& group) const;

  /// Returns the most connections that this host opens to one member: the even share and one more, since few hosts are
  /// at their crest together. While connections of a former life of this process may linger, half of it.
  std::size_t limit(const UpstreamGroup& group, TimePoint now) const;

  /// Tells whether one more connection to `member` may be opened now.
  bool may_open(const UpstreamGroup& group, const UpstreamMember& member, TimePoint now) const;

  /// Starts to open a connection to `member`.
  void open(UpstreamGroup& group, UpstreamMember& member, TimePoint now);

  /// Notes that an attempt succeeded.
  void on_opened(UpstreamGroup& group, MemberConnection& connection, TimePoint now);

  /// Notes that an attempt failed, and forgets the connection.
  void on_open_failed(UpstreamGroup& group, const MemberConnection& connection, MemberLinkErrorKind kind,
                      TimePoint now);

  /// Sends `commands`; each reply belongs to the purpose at the same index.
  void send(UpstreamGroup& group, MemberConnection& connection, const std::vector<MemberCommand>& commands,
            const std::vector<ReplyPurpose>& purposes, TimePoint now);

  /// Takes the oldest expected reply from the connection, or nothing if none was due.
  std::optional<ExpectedReply> take_expected(UpstreamGroup& group, MemberConnection& connection, TimePoint now);

  /// Closes the connection and forgets it.
  void close(UpstreamGroup& group, ConnectionId connection);

  /// Forgets a connection that the other side closed.
  void forget(UpstreamGroup& group, const MemberConnection& connection);

  /// Returns the connections to `member` that callers' transactions hold.
  std::size_t pinned_count(const UpstreamMember& member) const;

  /// Returns the connections to the group's members that serve nobody and were not heard since `since`: those that are
  /// not open yet, and idle ones that may be dead.
  std::vector<ConnectionId> unheard_since(const UpstreamGroup& group, TimePoint since) const;

  /// Returns the connections whose attempt, or whose reply that nobody waits for, has taken too long.
  std::vector<ConnectionId> overdue(TimePoint now) const;

  /// Returns idle connections beyond the resting share, or to members that are not in use any more.
  std::vector<ConnectionId> superfluous(const UpstreamGroup& group, const UpstreamMember& member, TimePoint now) const;

  std::size_t size() const { return m_connections.size(); }

 private:
  static bool is_idle(const MemberConnection& connection);
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
