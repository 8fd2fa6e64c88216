#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

#include "core/ports/member_link_port.h"
#include "servers/sessions/upstream_group.h"

namespace teaselrudder {

/// What became of a control command.
struct ControlOutcome {
  GroupId group;
  MemberId member;
  MemberCommandKind command = MemberCommandKind::kReportStatus;
  /// The member's report; nothing if it refused the command or could not be reached.
  std::optional<MemberReport> report;
  /// The member answered, whatever it said.
  bool answered = false;
  TimePoint sent_at;
};

/// Connections of this host's own, apart from those of callers' statements, for commands to members. Each member has at
/// most one with at most one command on its way.
class ControlLinks final : public MemberLinkEvents {
 public:
  /// Time after which a command counts as unanswered. A new connection takes tens of milliseconds, a command waits for
  /// a slot behind at most a few statements.
  static constexpr Duration kTimeout = std::chrono::milliseconds(500);

  using Receiver = std::function<void(const ControlOutcome&, TimePoint)>;

  /// All references must outlive the object. `receiver` gets one outcome for each command, never from inside a call.
  ControlLinks(MemberLinkPort& links, MemberReportReader read_report, Receiver receiver);

  /// Sends a command to `member`, on a new connection if there is none. Returns false if one is on its way already.
  bool command(const GroupId& group, const MemberEntry& member, MemberCommandKind command, Term term, TimePoint now);

  /// Ends commands that have taken too long.
  void on_tick(TimePoint now);

  /// Closes the idle connections that `keep` does not want.
  void close_idle(const std::function<bool(const MemberId&)>& keep);

  void on_link_opened(ConnectionId connection, tl::expected<void, MemberLinkError> outcome, TimePoint now) override;
  void on_link_reply(ConnectionId connection, StatementReply reply, TimePoint now) override;
  void on_link_closed(ConnectionId connection, TimePoint now) override;

 private:
  struct Link {
    ConnectionId connection;
    GroupId group;
    Endpoint endpoint;
    bool open = false;
    bool busy = false;
    MemberCommand command;
    TimePoint sent_at;
  };

  /// Apart from the ids of other connections of this host, with which they share the port.
  static constexpr std::uint64_t kFirstId = std::uint64_t{1} << 48U;

  std::map<MemberId, Link>::iterator find(ConnectionId connection);
  void fail(std::map<MemberId, Link>::iterator link, bool answered, TimePoint now);

  MemberLinkPort& m_port;
  MemberReportReader m_read_report;
  Receiver m_receiver;
  std::map<MemberId, Link> m_links;
  std::uint64_t m_next_id = kFirstId;
};

}  // namespace teaselrudder
