#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/ids.h"
#include "core/session_protocol.h"
#include "core/time.h"
#include "tl/expected.hpp"

namespace teaselrudder {

/// Why a connection to a member did not come about.
enum class MemberLinkErrorKind {
  kUnreachable,         // No connection came about.
  kWrongMember,         // Another member answers at the address.
  kTooManyConnections,  // The member's connection limit is reached.
  kRefused,             // The member refused the session for another reason.
};

/// Returns the name of the kind, as in log lines.
constexpr std::string_view to_string(MemberLinkErrorKind kind) {
  switch (kind) {
    case MemberLinkErrorKind::kUnreachable:
      return "unreachable";
    case MemberLinkErrorKind::kWrongMember:
      return "wrong_member";
    case MemberLinkErrorKind::kTooManyConnections:
      return "too_many_connections";
    case MemberLinkErrorKind::kRefused:
      return "refused";
  }
  return "unreachable";
}

/// A failed connection attempt.
struct MemberLinkError {
  MemberLinkErrorKind kind = MemberLinkErrorKind::kUnreachable;
  std::string message;
};

/// Which member a connection is for. The member itself checks its group and id.
struct MemberAddress {
  GroupId group;
  MemberId member;
  Endpoint endpoint;
};

/// Receives what happens on connections to members.
class MemberLinkEvents {
 public:
  MemberLinkEvents() = default;
  MemberLinkEvents(const MemberLinkEvents&) = delete;
  MemberLinkEvents& operator=(const MemberLinkEvents&) = delete;
  virtual ~MemberLinkEvents() = default;

  /// The connection is open, or failed and is gone.
  virtual void on_link_opened(ConnectionId connection, tl::expected<void, MemberLinkError> outcome, TimePoint now) = 0;

  /// The member answered the oldest command without an answer.
  virtual void on_link_reply(ConnectionId connection, StatementReply reply, TimePoint now) = 0;

  /// The connection broke and is gone; commands without an answer may have run.
  virtual void on_link_closed(ConnectionId connection, TimePoint now) = 0;
};

/// Connections to members of database groups. No event is delivered from inside a call.
class MemberLinkPort {
 public:
  MemberLinkPort() = default;
  MemberLinkPort(const MemberLinkPort&) = delete;
  MemberLinkPort& operator=(const MemberLinkPort&) = delete;
  virtual ~MemberLinkPort() = default;

  /// Starts to open `connection`. on_link_opened follows unless the connection is closed first.
  virtual void open_link(ConnectionId connection, const MemberAddress& address, MemberLinkEvents& receiver) = 0;

  /// Sends commands together on an open connection. One on_link_reply follows for each, in order, unless the connection
  /// ends first.
  virtual void send(ConnectionId connection, const std::vector<MemberCommand>& commands) = 0;

  /// Closes the connection at once. No further event of it follows.
  virtual void close_link(ConnectionId connection) = 0;
};

/// Reads the row of a status report. Returns nothing if it does not have the expected form.
using MemberReportReader = std::optional<MemberReport> (*)(const StatementReply& reply);

}  // namespace teaselrudder
