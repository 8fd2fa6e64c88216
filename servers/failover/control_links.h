#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

#include "core/ports/member_link_port.h"
#include "servers/sessions/upstream_group.h"

namespace teaselrudder {

/// Outcome of a control command.
struct ControlOutcome {
  GroupId group;
  MemberId member;
  MemberCommandKind command = MemberCommandKind::kReportStatus;
  /// The report that the member returned; nothing if it refused the command or could not be reached.
  std::optional<MemberReport> report;
  /// True if the member answered, even with an error.
  bool answered = false;
  TimePoint sent_at;
};

/// Connections to members for control commands, separate from those for callers' statements. There is at most one
/// connection per member, with at most one outstanding command.
class ControlLinks final : public MemberLinkEvents {
 public:
  /// Timeout of a command, including the time to open a connection. Opening one takes tens of milliseconds, and a
  /// command waits for a slot behind a few statements at most.
  static constexpr Duration kTimeout = std::chrono::milliseconds(500);

  using Receiver = std::function<void(const ControlOutcome&, TimePoint)>;

  /// All references must outlive the object. `receiver` is called once for each command, never from within command().
  ControlLinks(MemberLinkPort& links, MemberReportReader read_report, Receiver receiver);

  /// Sends a command to `member` and opens a connection if there is none. Returns false without sending if a command is
  /// still outstanding.
  bool command(const GroupId& group, const MemberEntry& member, MemberCommandKind command, Term term, TimePoint now);

  /// Fails commands whose timeout has expired.
  void on_tick(TimePoint now);

  /// Closes the idle connections for whose member `keep` returns false.
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

  /// First connection id. It lies far above the ids of this host's other connections, which share the same port object.
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
