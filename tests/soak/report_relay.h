#pragma once

#include <uv.h>

#include <array>
#include <cstdint>

namespace teaselrudder::soak {

/// Forwards datagrams to the port of another host on 127.0.0.1, or drops them. Listens on its own port of 127.0.0.1.
/// Create it with new; the event loop deletes it after close().
class ReportRelay final {
 public:
  /// Throws std::runtime_error if no UDP port can be bound.
  ReportRelay(uv_loop_t* loop, std::uint16_t target);
  ReportRelay(const ReportRelay&) = delete;
  ReportRelay& operator=(const ReportRelay&) = delete;

  std::uint16_t port() const { return m_port; }
  /// Sets whether datagrams are dropped.
  void set_blocked(bool blocked) { m_blocked = blocked; }
  void close();

 private:
  ~ReportRelay() = default;

  static void on_datagram(uv_udp_t* socket, ssize_t size, const uv_buf_t* buffer, const sockaddr* from, unsigned flags);

  uv_udp_t m_socket{};
  std::array<char, 65536> m_buffer{};
  std::uint16_t m_target;
  std::uint16_t m_port = 0;
  bool m_blocked = false;
};

}  // namespace teaselrudder::soak
