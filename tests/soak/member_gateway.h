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

/// Connects one host to one member of the simulated group: serves the line protocol for members on its own port of
/// 127.0.0.1. It also simulates the network between both, which can hold back or delay data and reset connections. As
/// with TCP, no data is lost inside a connection that stays open.
class MemberGateway final : private MemberLinkEvents {
 public:
  /// The references must outlive the gateway. `links` is the port through which this host reaches the members.
  MemberGateway(uv_loop_t* loop, model::EventQueue& events, model::ReplicatedMembers& members, std::size_t member,
                MemberLinkPort& links, std::uint64_t& last_connection);
  MemberGateway(const MemberGateway&) = delete;
  MemberGateway& operator=(const MemberGateway&) = delete;
  ~MemberGateway() override;

  std::uint16_t port() const { return m_listener->port(); }

  /// Sets for each direction whether data is held back. Held data is delivered when the direction is unblocked.
  void set_blocked(bool to_member, bool to_host);
  /// Sets the delay of data from the member to the host.
  void set_delay(Duration delay) { m_delay = delay; }
  /// Sets whether new connections are closed at once, as if the process of the member was not running.
  void set_refusing(bool refusing) { m_refusing = refusing; }
  /// Closes every open connection.
  void reset_connections();
  /// Makes every open connection permanently unresponsive; new connections work.
  void make_connections_unresponsive();

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
  bool m_blocked_to_member = false;
  bool m_blocked_to_host = false;
  bool m_refusing = false;
  Duration m_delay{0};
};

}  // namespace teaselrudder::soak
