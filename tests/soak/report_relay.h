#pragma once

#include <uv.h>

#include <array>
#include <cstdint>

namespace teaselrudder::soak {

/// Passes datagrams on from one host to another, or loses them. It listens on a port of 127.0.0.1 of its own. Created
/// with new; the loop deletes it after close().
class ReportRelay final {
 public:
  /// Throws std::runtime_error if no port can be had.
  ReportRelay(uv_loop_t* loop, std::uint16_t target);
  ReportRelay(const ReportRelay&) = delete;
  ReportRelay& operator=(const ReportRelay&) = delete;

  std::uint16_t port() const { return m_port; }
  void set_cut(bool cut) { m_cut = cut; }
  void close();

 private:
  ~ReportRelay() = default;

  static void on_datagram(uv_udp_t* socket, ssize_t size, const uv_buf_t* buffer, const sockaddr* from, unsigned flags);

  uv_udp_t m_socket{};
  std::array<char, 65536> m_buffer{};
  std::uint16_t m_target;
  std::uint16_t m_port = 0;
  bool m_cut = false;
};

}  // namespace teaselrudder::soak
