#include "tests/soak/report_relay.h"

#include <stdexcept>

namespace teaselrudder::soak {

namespace {

sockaddr_in loopback(std::uint16_t port) {
  sockaddr_in address{};
  uv_ip4_addr("127.0.0.1", port, &address);
  return address;
}

}  // namespace

ReportRelay::ReportRelay(uv_loop_t* loop, std::uint16_t target) : m_target(target) {
  uv_udp_init(loop, &m_socket);
  m_socket.data = this;
  const sockaddr_in any_port = loopback(0);
  if (uv_udp_bind(&m_socket, reinterpret_cast<const sockaddr*>(&any_port), 0) != 0) {
    throw std::runtime_error("cannot bind a UDP port on 127.0.0.1");
  }
  sockaddr_in bound{};
  int size = sizeof(bound);
  uv_udp_getsockname(&m_socket, reinterpret_cast<sockaddr*>(&bound), &size);
  m_port = ntohs(bound.sin_port);
  uv_udp_recv_start(
      &m_socket,
      [](uv_handle_t* handle, std::size_t, uv_buf_t* buffer) {
        auto& bytes = static_cast<ReportRelay*>(handle->data)->m_buffer;
        *buffer = uv_buf_init(bytes.data(), static_cast<unsigned>(bytes.size()));
      },
      on_datagram);
}

void ReportRelay::on_datagram(uv_udp_t* socket, ssize_t size, const uv_buf_t* buffer, const sockaddr* from,
                              unsigned /*flags*/) {
  const auto* const self = static_cast<ReportRelay*>(socket->data);
  if (size <= 0 || from == nullptr || self->m_blocked) {
    return;
  }
  const sockaddr_in target = loopback(self->m_target);
  const uv_buf_t bytes = uv_buf_init(buffer->base, static_cast<unsigned>(size));
  uv_udp_try_send(socket, &bytes, 1, reinterpret_cast<const sockaddr*>(&target));
}

void ReportRelay::close() {
  uv_close(reinterpret_cast<uv_handle_t*>(&m_socket),
           [](uv_handle_t* handle) { delete static_cast<ReportRelay*>(handle->data); });
}

}  // namespace teaselrudder::soak
