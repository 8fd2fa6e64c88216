#include "tests/soak/member_gateway.h"

#include <algorithm>
#include <deque>
#include <optional>
#include <sstream>
#include <utility>
#include <vector>

#include "core/parse_number.h"
#include "core/take_word.h"
#include "platform/line_codec.h"

namespace teaselrudder::soak {

namespace {

LogPoint parse_position(std::string_view text) {
  const std::size_t dot = text.find('.');
  return {Term(parse_unsigned(text.substr(0, dot)).value_or(0)),
          LogPosition(parse_unsigned(text.substr(dot + 1)).value_or(0))};
}

Term parse_term(std::string_view text) { return Term(parse_unsigned(text).value_or(0)); }

/// Parses the text of a query in the platform's line protocol. Returns nothing if the command is unknown.
std::optional<MemberCommand> parse_command(std::string_view text) {
  MemberCommand command;
  std::string_view verb = take_word(text);
  if (verb == "AFTER") {
    command.required = parse_position(take_word(text));
    verb = take_word(text);
  }
  static const std::map<std::string_view, MemberCommandKind> kinds = {{"COMMIT", MemberCommandKind::kCommit},
                                                                      {"ROLLBACK", MemberCommandKind::kRollback},
                                                                      {"READ", MemberCommandKind::kRead},
                                                                      {"WRITE", MemberCommandKind::kWrite},
                                                                      {"EXECUTE", MemberCommandKind::kExecute},
                                                                      {"SET", MemberCommandKind::kSetValue},
                                                                      {"PREPARE", MemberCommandKind::kPrepare},
                                                                      {"RESET", MemberCommandKind::kReset},
                                                                      {"STATUS", MemberCommandKind::kReportStatus},
                                                                      {"PAUSE", MemberCommandKind::kStopReceiving},
                                                                      {"RESUME", MemberCommandKind::kResumeReceiving},
                                                                      {"DEMOTE", MemberCommandKind::kStepDown},
                                                                      {"BEGIN", MemberCommandKind::kBegin}};
  const auto kind = kinds.find(verb);
  if (kind == kinds.end()) {
    return std::nullopt;
  }
  command.kind = kind->second;
  switch (command.kind) {
    case MemberCommandKind::kBegin:
      command.kind = text == "READ" ? MemberCommandKind::kBeginReadOnly : MemberCommandKind::kBegin;
      break;
    case MemberCommandKind::kStopReceiving:
    case MemberCommandKind::kStepDown:
      command.term = parse_term(text);
      break;
    case MemberCommandKind::kPrepare:
      command.name = take_word(text);
      command.access = take_word(text) == "WRITE" ? StatementAccess::kWrite : StatementAccess::kRead;
      command.argument = text;
      break;
    case MemberCommandKind::kSetValue:
    case MemberCommandKind::kExecute:
      command.name = take_word(text);
      command.argument = text;
      break;
    default:
      command.argument = text;
      break;
  }
  return command;
}

/// Converts the status row of the simulated member to the platform's form: role, term, log position, term below
/// which receiving is stopped, lag, busy, connections.
std::string status_row(const std::string& row) {
  std::istringstream words(row);
  std::string role;
  std::string term;
  std::string log_term;
  std::string position;
  std::string stopped;
  words >> role >> term >> log_term >> position >> stopped;
  return role + " " + term + " " + log_term + "." + position + " " + stopped + " 0 0 0";
}

}  // namespace

/// A connection from the host.
class MemberGateway::Stream final : public testing::TcpStream {
 public:
  Stream(uv_loop_t* loop, MemberGateway& owner, ConnectionId id) : TcpStream(loop), m_owner(&owner), m_id(id) {}

  ConnectionId id() const { return m_id; }
  void detach() { m_owner = nullptr; }

  /// Processes the received lines, unless data to the member is held back.
  void read_lines() {
    while (m_owner != nullptr && !is_closed() && !unresponsive && !m_owner->m_blocked_to_member) {
      const std::size_t end = m_input.find("\r\n");
      if (end == std::string::npos) {
        return;
      }
      const std::string line = m_input.substr(0, end);
      m_input.erase(0, end + 2);
      on_line(line);
    }
  }

  bool unresponsive = false;
  /// Data to the host with its delivery time, and whether the connection is closed after it.
  struct Outgoing {
    TimePoint at;
    std::string text;
    bool close_after = false;
  };
  std::deque<Outgoing> outgoing;

 protected:
  void on_data(std::string_view data) override {
    m_input += data;
    read_lines();
  }
  void on_close() override {
    if (m_owner != nullptr) {
      m_owner->m_links.close_link(m_id);
      m_owner->m_streams.erase(m_id);
    }
  }

 private:
  void on_line(std::string_view line) {
    if (!m_started) {
      m_started = true;
      m_owner->on_startup(*this, line);
      return;
    }
    if (take_word(line) != "QUERY") {
      close();
      return;
    }
    const std::string id(take_word(line));
    std::optional<MemberCommand> command = parse_command(line);
    if (!command.has_value()) {
      close();
      return;
    }
    command->id = RequestId(id == "-" ? "" : id);
    if (command->kind == MemberCommandKind::kPrepare) {
      m_access[command->name] = command->access;
    } else if (command->kind == MemberCommandKind::kExecute) {
      command->access = m_access[command->name];
    }
    m_owner->m_links.send(m_id, {*command});
  }

  MemberGateway* m_owner;
  ConnectionId m_id;
  std::string m_input;
  bool m_started = false;
  std::map<std::string, StatementAccess> m_access;
};

MemberGateway::MemberGateway(uv_loop_t* loop, model::EventQueue& events, model::ReplicatedMembers& members,
                             std::size_t member, MemberLinkPort& links, std::uint64_t& last_connection)
    : m_events(events), m_members(members), m_member(member), m_links(links), m_last_connection(last_connection) {
  m_listener = new testing::TcpListener(loop, 0, [this, loop](uv_stream_t* listener) {
    auto* const stream = new Stream(loop, *this, ConnectionId(++m_last_connection));
    m_streams[stream->id()] = stream;
    stream->accept_from(listener);
    if (m_refusing) {
      stream->close();
    }
  });
}

MemberGateway::~MemberGateway() {
  m_listener->close();
  const auto streams = std::exchange(m_streams, {});
  for (const auto& [id, stream] : streams) {
    stream->detach();
    stream->close();
  }
}

void MemberGateway::on_startup(Stream& stream, std::string_view line) {
  const model::ReplicatedMembers::Member& member = m_members.member(m_member);
  take_word(line);
  const std::string group(take_word(line));
  take_word(line);
  if (group != m_members.group().value() || (!line.empty() && line != member.entry.member.value())) {
    send(stream.id(), "ERROR WRONGNODE " + member.entry.member.value() + "\r\n", true);
    return;
  }
  m_links.open_link(stream.id(), {m_members.group(), member.entry.member, member.entry.endpoint}, *this);
}

void MemberGateway::on_link_opened(ConnectionId connection, tl::expected<void, MemberLinkError> outcome,
                                   TimePoint /*now*/) {
  if (outcome.has_value()) {
    send(connection, "READY I -\r\n", false);
  } else {
    send(connection, "ERROR TOOMANY full\r\n", true);
  }
}

void MemberGateway::on_link_reply(ConnectionId connection, StatementReply reply, TimePoint /*now*/) {
  // Of the replies of the simulated member, only that to STATUS has rows but no signature.
  if (!reply.rows.empty() && reply.signature.empty()) {
    reply.rows.front() = status_row(reply.rows.front());
  }
  send(connection, platform::encode_reply(reply), false);
}

void MemberGateway::on_link_closed(ConnectionId connection, TimePoint /*now*/) { send(connection, "", true); }

void MemberGateway::send(ConnectionId connection, std::string text, bool close_after) {
  const auto stream = m_streams.find(connection);
  if (stream == m_streams.end()) {
    return;
  }
  TimePoint at = m_events.now() + m_delay;
  if (!stream->second->outgoing.empty()) {
    at = std::max(at, stream->second->outgoing.back().at);
  }
  stream->second->outgoing.push_back({at, std::move(text), close_after});
  m_events.at(at, [this, connection] { deliver(connection); });
}

void MemberGateway::deliver(ConnectionId connection) {
  const auto found = m_streams.find(connection);
  if (found == m_streams.end() || found->second->unresponsive || m_blocked_to_host) {
    return;
  }
  Stream& stream = *found->second;
  while (!stream.outgoing.empty() && stream.outgoing.front().at <= m_events.now()) {
    const Stream::Outgoing next = std::move(stream.outgoing.front());
    stream.outgoing.pop_front();
    if (next.close_after) {
      stream.send_and_close(next.text);
      return;
    }
    stream.send(next.text);
  }
}

void MemberGateway::set_blocked(bool to_member, bool to_host) {
  m_blocked_to_member = to_member;
  m_blocked_to_host = to_host;
  const auto streams = m_streams;
  for (const auto& [id, stream] : streams) {
    stream->read_lines();
    deliver(id);
  }
}

void MemberGateway::reset_connections() {
  const auto streams = m_streams;
  for (const auto& [id, stream] : streams) {
    stream->close();
  }
}

void MemberGateway::make_connections_unresponsive() {
  for (const auto& [id, stream] : m_streams) {
    stream->unresponsive = true;
  }
}

}  // namespace teaselrudder::soak
