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

/// Why a connection to a member could not be opened.
enum class MemberLinkErrorKind {
  kUnreachable,         // The connection attempt failed or the connection closed before the session was open.
  kWrongMember,         // A different member answered at the address.
  kTooManyConnections,  // The member's connection limit is reached.
  kRefused,             // The member refused the session for another reason.
};

/// Returns the name of `kind` as written to the log, for example `too_many_connections`.
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

/// Identifies the member to connect to. The member rejects the session if its group or id differs.
struct MemberAddress {
  GroupId group;
  MemberId member;
  Endpoint endpoint;
  /// Client account on whose behalf the connection is used; empty if it is used for no account.
  AccountId account{};
};

/// Receives events of connections to members.
class MemberLinkEvents {
 public:
  MemberLinkEvents() = default;
  MemberLinkEvents(const MemberLinkEvents&) = delete;
  MemberLinkEvents& operator=(const MemberLinkEvents&) = delete;
  virtual ~MemberLinkEvents() = default;

  /// The connection attempt ended. After an error the connection no longer exists.
  virtual void on_link_opened(ConnectionId connection, tl::expected<void, MemberLinkError> outcome, TimePoint now) = 0;

  /// The member answered the oldest unanswered command on the connection.
  virtual void on_link_reply(ConnectionId connection, StatementReply reply, TimePoint now) = 0;

  /// The connection was lost and no longer exists. Unanswered commands may have run.
  virtual void on_link_closed(ConnectionId connection, TimePoint now) = 0;
};

/// Connections to members of database groups. Events are never raised before a call returns.
class MemberLinkPort {
 public:
  MemberLinkPort() = default;
  MemberLinkPort(const MemberLinkPort&) = delete;
  MemberLinkPort& operator=(const MemberLinkPort&) = delete;
  virtual ~MemberLinkPort() = default;

  /// Starts to open `connection`. One on_link_opened() event follows unless the connection is closed first.
  virtual void open_link(ConnectionId connection, const MemberAddress& address, MemberLinkEvents& receiver) = 0;

  /// Sends `commands` as one batch on an open connection. One on_link_reply() event follows for each, in order, unless
  /// the connection ends first.
  virtual void send(ConnectionId connection, const std::vector<MemberCommand>& commands) = 0;

  /// Closes the connection immediately. It raises no further events.
  virtual void close_link(ConnectionId connection) = 0;
};

/// Parses a member's answer to kReportStatus. Returns nullopt if the reply is malformed.
using MemberReportReader = std::optional<MemberReport> (*)(const StatementReply& reply);

}  // namespace teaselrudder
