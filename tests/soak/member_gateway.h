#pragma once

#include <uv.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "core/ports/member_link_port.h"
#include "tests/model/replicated_members.h"
#include "tests/stand_ins/tcp_stream.h"

namespace teaselrudder::soak {

/// One member as one host reaches it: the members' line protocol on a port of 127.0.0.1 of its own, in front of the
/// model of the members. It stands for the network between both, which holds bytes back, delays them, or resets
/// connections; like TCP it never drops bytes from the middle of a connection.
class MemberGateway final : private MemberLinkEvents {
 public:
  /// References outlive the gateway. `links` are those of the host.
  MemberGateway(uv_loop_t* loop, model::EventQueue& events, model::ReplicatedMembers& members, std::size_t member,
                MemberLinkPort& links, std::uint64_t& last_connection);
  MemberGateway(const MemberGateway&) = delete;
  MemberGateway& operator=(const MemberGateway&) = delete;
  ~MemberGateway() override;

  std::uint16_t port() const { return m_listener->port(); }

  /// Holds back what the host sends, and what the member sends. What was held arrives when the cut ends.
  void cut(bool to_member, bool to_host);
  /// Delays what the member sends.
  void set_delay(Duration delay) { m_delay = delay; }
  /// Sets whether new connections are refused, as those to a process that does not run.
  void set_refusing(bool refusing) { m_refusing = refusing; }
  /// Ends every open connection.
  void reset_connections();
  /// Makes every open connection silent for good, while new ones work.
  void silence_connections();

 private:
  class Stream;

  void on_link_opened(ConnectionId connection, tl::expected<void, MemberLinkError> outcome, TimePoint now) override;
  void on_link_reply(ConnectionId connection, StatementReply reply, TimePoint now) override;
  void on_link_closed(ConnectionId connection, TimePoint now) override;

  void on_startup(Stream& stream, std::string_view line);
  void send(ConnectionId connection, std::string text, bool close_after);
  void deliver(ConnectionId connection);

  model::EventQueue& m_events;
  model::ReplicatedMembers& m_members;
  std::size_t m_member;
  MemberLinkPort& m_links;
  std::uint64_t& m_last_connection;
  testing::TcpListener* m_listener;
  std::map<ConnectionId, Stream*> m_streams;
  bool m_cut_to_member = false;
  bool m_cut_to_host = false;
  bool m_refusing = false;
  Duration m_delay{0};
};

}  // namespace teaselrudder::soak
