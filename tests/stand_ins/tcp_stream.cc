#include "tests/stand_ins/tcp_stream.h"

#include <array>
#include <memory>
#include <stdexcept>
#include <utility>

namespace teaselrudder::testing {

namespace {

constexpr int kBacklog = 128;

/// A write in progress with its data.
struct PendingWrite {
  uv_write_t request{};
  std::string bytes;
  TcpStream* close_after = nullptr;
};

void write_bytes(uv_tcp_t* tcp, std::string bytes, TcpStream* close_after) {
  auto* const pending = new PendingWrite{{}, std::move(bytes), close_after};
  pending->request.data = pending;
  const uv_buf_t buffer = uv_buf_init(pending->bytes.data(), static_cast<unsigned int>(pending->bytes.size()));
  const auto on_written = [](uv_write_t* request, int /*status*/) {
    const std::unique_ptr<PendingWrite> written(static_cast<PendingWrite*>(request->data));
    if (written->close_after != nullptr) {
      written->close_after->close();
    }
  };
  if (uv_write(&pending->request, reinterpret_cast<uv_stream_t*>(tcp), &buffer, 1, on_written) != 0) {
    on_written(&pending->request, 0);
  }
}

void provide_buffer(uv_handle_t* /*handle*/, std::size_t /*suggested*/, uv_buf_t* buffer) {
  // The data of each read is consumed in its callback, so all streams of a thread can share one buffer.
  static thread_local std::array<char, 65536> bytes;
  *buffer = uv_buf_init(bytes.data(), static_cast<unsigned int>(bytes.size()));
}

sockaddr_in loopback(std::uint16_t port) {
  sockaddr_in address{};
  uv_ip4_addr("127.0.0.1", port, &address);
  return address;
}

}  // namespace

TcpStream::TcpStream(uv_loop_t* loop) {
  uv_tcp_init(loop, &m_tcp);
  uv_timer_init(loop, &m_timer);
  m_tcp.data = this;
  m_timer.data = this;
}

void TcpStream::accept_from(uv_stream_t* listener) {
  uv_accept(listener, reinterpret_cast<uv_stream_t*>(&m_tcp));
  start_reading();
}

void TcpStream::connect(std::uint16_t port) {
  const sockaddr_in address = loopback(port);
  auto* const request = new uv_connect_t;
  request->data = this;
  const auto on_finished = [](uv_connect_t* finished, int status) {
    auto* const self = static_cast<TcpStream*>(finished->data);
    delete finished;
    if (self->m_closed) {
      return;
    }
    if (status != 0) {
      self->on_end();
      return;
    }
    self->start_reading();
    self->on_connected();
  };
  if (uv_tcp_connect(request, &m_tcp, reinterpret_cast<const sockaddr*>(&address), on_finished) != 0) {
    delete request;
    close();
  }
}

void TcpStream::start_reading() {
  uv_tcp_nodelay(&m_tcp, 1);
  uv_read_start(reinterpret_cast<uv_stream_t*>(&m_tcp), provide_buffer,
                [](uv_stream_t* stream, ssize_t size, const uv_buf_t* buffer) {
                  auto* const self = static_cast<TcpStream*>(stream->data);
                  if (self->m_closed || size == 0) {
                    return;
                  }
                  if (size < 0) {
                    uv_read_stop(stream);
                    self->on_end();
                    return;
                  }
                  self->on_data(std::string_view(buffer->base, static_cast<std::size_t>(size)));
                });
}

void TcpStream::send(std::string bytes) {
  if (!m_closed && !bytes.empty()) {
    write_bytes(&m_tcp, std::move(bytes), nullptr);
  }
}

void TcpStream::send_and_close(std::string bytes) {
  if (!m_closed) {
    write_bytes(&m_tcp, std::move(bytes), this);
  }
}

void TcpStream::close() {
  if (m_closed) {
    return;
  }
  m_closed = true;
  on_close();
  uv_close(reinterpret_cast<uv_handle_t*>(&m_tcp), on_handle_closed);
  uv_close(reinterpret_cast<uv_handle_t*>(&m_timer), on_handle_closed);
}

void TcpStream::on_handle_closed(uv_handle_t* handle) {
  auto* const self = static_cast<TcpStream*>(handle->data);
  --self->m_open_handles;
  if (self->m_open_handles == 0) {
    delete self;
  }
}

void TcpStream::start_timer(std::uint64_t delay_ms) {
  uv_timer_start(
      &m_timer, [](uv_timer_t* timer) { static_cast<TcpStream*>(timer->data)->on_timer(); }, delay_ms, 0);
}

TcpListener::TcpListener(uv_loop_t* loop, std::uint16_t port, Handler on_connection)
    : m_on_connection(std::move(on_connection)) {
  uv_tcp_init(loop, &m_tcp);
  m_tcp.data = this;
  const sockaddr_in wanted = loopback(port);
  auto* const stream = reinterpret_cast<uv_stream_t*>(&m_tcp);
  const auto on_waiting = [](uv_stream_t* listener, int status) {
    if (status == 0) {
      static_cast<TcpListener*>(listener->data)->m_on_connection(listener);
    }
  };
  if (uv_tcp_bind(&m_tcp, reinterpret_cast<const sockaddr*>(&wanted), 0) != 0 ||
      uv_listen(stream, kBacklog, on_waiting) != 0) {
    throw std::runtime_error("cannot listen on port " + std::to_string(port));
  }
  sockaddr_in bound{};
  int size = sizeof(bound);
  uv_tcp_getsockname(&m_tcp, reinterpret_cast<sockaddr*>(&bound), &size);
  m_port = ntohs(bound.sin_port);
}

bool TcpListener::is_port_free(uv_loop_t* loop, std::uint16_t port) {
  auto* const tcp = new uv_tcp_t;
  uv_tcp_init(loop, tcp);
  const sockaddr_in wanted = loopback(port);
  const bool free = uv_tcp_bind(tcp, reinterpret_cast<const sockaddr*>(&wanted), 0) == 0 &&
                    uv_listen(reinterpret_cast<uv_stream_t*>(tcp), 1, [](uv_stream_t*, int) {}) == 0;
  uv_close(reinterpret_cast<uv_handle_t*>(tcp),
           [](uv_handle_t* handle) { delete reinterpret_cast<uv_tcp_t*>(handle); });
  return free;
}

void TcpListener::close() {
  uv_close(reinterpret_cast<uv_handle_t*>(&m_tcp),
           [](uv_handle_t* handle) { delete static_cast<TcpListener*>(handle->data); });
}

}  // namespace teaselrudder::testing
