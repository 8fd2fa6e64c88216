#include "drivers/net/line_stream.h"

#include <sys/socket.h>

#include <array>
#include <utility>

#include "drivers/net/socket_address.h"

namespace teaselrudder {

namespace {

/// Maximum number of connections that wait to be accepted. If the queue is full, the kernel drops the SYN packet, and
/// the client retries only after seconds.
constexpr int kListenBacklog = 1024;
/// Seconds without traffic after which the kernel sends TCP keepalive probes.
constexpr unsigned int kKeepAliveSeconds = 5;
/// Line feeds or carriage returns alone are part of a line.
constexpr std::string_view kLineEnd = "\r\n";

void provide_buffer(uv_handle_t* /*handle*/, std::size_t /*suggested*/, uv_buf_t* buffer) {
  // The data of each read is processed within its callback, so all streams of a thread can share one buffer.
  static thread_local std::array<char, 65536> bytes;
  *buffer = uv_buf_init(bytes.data(), static_cast<unsigned int>(bytes.size()));
}

}  // namespace

/// Holds the libuv handles and deletes itself when libuv has closed them, which is after the LineStream is destroyed.
/// `m_events` is null once the stream is destroyed or has reported its end.
class LineStream::State {
 public:
  State(uv_loop_t* loop, std::size_t max_line_bytes, LineStreamEvents& events)
      : m_max_line_bytes(max_line_bytes), m_events(&events) {
    uv_tcp_init(loop, &m_tcp);
    m_tcp.data = this;
    uv_timer_init(loop, &m_timer);
    m_timer.data = this;
  }

  bool accept_from(uv_stream_t* listener) {
    if (uv_accept(listener, stream()) != 0) {
      return false;
    }
    start_reading();
    return true;
  }

  void connect(const Endpoint& endpoint) {
    auto address = to_socket_address(endpoint);
    m_connect.data = this;
    const auto on_finished = [](uv_connect_t* request, int status) {
      auto* const self = static_cast<State*>(request->data);
      if (self->m_closing) {
        return;
      }
      if (status != 0) {
        self->report_end();
        return;
      }
      self->start_reading();
      if (self->m_events != nullptr) {
        self->m_events->on_connected();
      }
    };
    if (address.has_value() && uv_tcp_connect(&m_connect, &m_tcp, address->get(), on_finished) == 0) {
      return;
    }
    // The attempt failed immediately. An idle handle reports this in a later loop iteration, because connect() must not
    // call the receiver.
    m_failure_idle.data = this;
    uv_idle_init(m_tcp.loop, &m_failure_idle);
    m_failure_scheduled = true;
    uv_idle_start(&m_failure_idle, [](uv_idle_t* idle) {
      auto* const self = static_cast<State*>(idle->data);
      uv_idle_stop(idle);
      self->report_end();
    });
  }

  void send(std::string text) {
    if (m_closing || text.empty()) {
      return;
    }
    if (uv_stream_get_write_queue_size(stream()) + text.size() > kMaxUnsentBytes) {
      uv_read_stop(stream());
      shutdown(m_tcp);
      return;
    }
    std::size_t sent = 0;
    if (uv_stream_get_write_queue_size(stream()) == 0) {
      const uv_buf_t buffer = uv_buf_init(text.data(), static_cast<unsigned int>(text.size()));
      const int count = uv_try_write(stream(), &buffer, 1);
      sent = count > 0 ? static_cast<std::size_t>(count) : 0;
    }
    if (sent == text.size()) {
      return;
    }
    auto* const write = new PendingWrite{{}, text.substr(sent)};
    write->request.data = write;
    const uv_buf_t buffer = uv_buf_init(write->bytes.data(), static_cast<unsigned int>(write->bytes.size()));
    const auto on_written = [](uv_write_t* request, int /*status*/) {
      auto* const self = static_cast<State*>(request->handle->data);
      delete static_cast<PendingWrite*>(request->data);
      if (self->m_events != nullptr) {
        self->m_events->on_progress();
      }
    };
    if (uv_write(&write->request, stream(), &buffer, 1, on_written) != 0) {
      delete write;
    }
  }

  /// Closes the connection immediately. No event follows.
  void detach_and_close() {
    m_events = nullptr;
    close();
  }

  void close_after_sending() {
    m_events = nullptr;
    if (m_closing) {
      return;
    }
    uv_read_stop(stream());
    std::string().swap(m_partial_line);
    m_shutdown.data = this;
    const auto on_sent = [](uv_shutdown_t* request, int /*status*/) { static_cast<State*>(request->data)->close(); };
    if (uv_shutdown(&m_shutdown, stream(), on_sent) != 0) {
      close();
      return;
    }
    uv_timer_start(
        &m_timer, [](uv_timer_t* timer) { static_cast<State*>(timer->data)->close(); }, kMaxLingerMs, 0);
  }

  void pause_reading() {
    if (!m_paused && !m_closing) {
      m_paused = true;
      uv_timer_stop(&m_timer);
      uv_read_stop(stream());
    }
  }

  void resume_reading() {
    if (m_paused && !m_closing) {
      m_paused = false;
      uv_timer_start(
          &m_timer, [](uv_timer_t* timer) { static_cast<State*>(timer->data)->read_on(); }, 0, 0);
    }
  }

  std::size_t input_bytes() const { return m_partial_line.empty() ? 0 : m_partial_line.capacity(); }
  std::size_t unsent_bytes() const { return m_closing ? 0 : uv_stream_get_write_queue_size(stream()); }

 private:
  struct PendingWrite {
    uv_write_t request{};
    std::string bytes;
  };

  uv_stream_t* stream() { return reinterpret_cast<uv_stream_t*>(&m_tcp); }
  const uv_stream_t* stream() const { return reinterpret_cast<const uv_stream_t*>(&m_tcp); }

  static void shutdown(uv_tcp_t& tcp) {
    uv_os_fd_t descriptor = -1;
    if (uv_fileno(reinterpret_cast<uv_handle_t*>(&tcp), &descriptor) == 0) {
      ::shutdown(descriptor, SHUT_RDWR);
    }
  }

  void start_reading() {
    uv_tcp_nodelay(&m_tcp, 1);
    uv_tcp_keepalive(&m_tcp, 1, kKeepAliveSeconds);
    read();
  }

  /// Reports the lines that were kept while reading was paused, then reads.
  void read_on() {
    on_bytes(std::exchange(m_partial_line, {}));
    if (m_events != nullptr && !m_paused && !m_closing) {
      read();
    }
  }

  void read() {
    uv_read_start(stream(), provide_buffer, [](uv_stream_t* source, ssize_t count, const uv_buf_t* buffer) {
      auto* const self = static_cast<State*>(source->data);
      if (count > 0) {
        self->on_bytes({buffer->base, static_cast<std::size_t>(count)});
      } else if (count < 0) {
        self->report_end();
      }
    });
  }

  void on_bytes(std::string_view bytes) {
    std::size_t begin = 0;
    while (m_events != nullptr && !m_paused) {
      const std::size_t end = find_line_end(bytes, begin);
      if (end == std::string_view::npos) {
        break;
      }
      std::string_view line = bytes.substr(begin, end + 1 - begin);
      begin = end + 1;
      std::string joined;
      if (!m_partial_line.empty()) {
        joined = std::exchange(m_partial_line, {}).append(line);
        line = joined;
      }
      line.remove_suffix(kLineEnd.size());
      if (line.size() > m_max_line_bytes) {
        stop_at_oversized_line();
        return;
      }
      m_events->on_line(line);
    }
    if (m_events == nullptr) {
      return;
    }
    m_partial_line.append(bytes.substr(begin));
    if (!m_paused && m_partial_line.size() > m_max_line_bytes + kLineEnd.size()) {
      stop_at_oversized_line();
      return;
    }
    m_events->on_progress();
  }

  /// Returns the position of the last byte of the first line end in `bytes` at or after `begin`, or npos. The line end
  /// may have begun in the data before.
  std::size_t find_line_end(std::string_view bytes, std::size_t begin) const {
    if (begin == 0 && m_partial_line.ends_with(kLineEnd.front()) && bytes.starts_with(kLineEnd.back())) {
      return 0;
    }
    const std::size_t found = bytes.find(kLineEnd, begin);
    return found == std::string_view::npos ? found : found + 1;
  }

  void stop_at_oversized_line() {
    uv_read_stop(stream());
    m_events->on_line_too_long();
  }

  void report_end() {
    LineStreamEvents* const events = std::exchange(m_events, nullptr);
    if (events != nullptr) {
      events->on_stream_end();
    }
  }

  void close() {
    if (m_closing) {
      return;
    }
    m_closing = true;
    const auto on_closed = [](uv_handle_t* handle) { static_cast<State*>(handle->data)->on_handle_closed(); };
    m_open_handles = 2;
    uv_close(reinterpret_cast<uv_handle_t*>(&m_timer), on_closed);
    if (m_failure_scheduled) {
      ++m_open_handles;
      uv_close(reinterpret_cast<uv_handle_t*>(&m_failure_idle), on_closed);
    }
    uv_close(reinterpret_cast<uv_handle_t*>(&m_tcp), on_closed);
  }

  void on_handle_closed() {
    if (--m_open_handles == 0) {
      delete this;
    }
  }

  std::size_t m_max_line_bytes;
  LineStreamEvents* m_events;
  uv_tcp_t m_tcp{};
  uv_connect_t m_connect{};
  uv_shutdown_t m_shutdown{};
  uv_idle_t m_failure_idle{};
  /// Ends the wait of close_after_sending(), or continues after pause_reading().
  uv_timer_t m_timer{};
  bool m_paused = false;
  bool m_failure_scheduled = false;
  bool m_closing = false;
  int m_open_handles = 0;
  std::string m_partial_line;
};

LineStream::LineStream(uv_loop_t* loop, std::size_t max_line_bytes, LineStreamEvents& events)
    : m_state(new State(loop, max_line_bytes, events)) {}

LineStream::~LineStream() {
  if (m_state != nullptr) {
    m_state->detach_and_close();
  }
}

bool LineStream::accept_from(uv_stream_t* listener) { return m_state->accept_from(listener); }

void LineStream::connect(const Endpoint& endpoint) { m_state->connect(endpoint); }

void LineStream::send(std::string text) {
  if (m_state != nullptr) {
    m_state->send(std::move(text));
  }
}

void LineStream::pause_reading() {
  if (m_state != nullptr) {
    m_state->pause_reading();
  }
}

void LineStream::resume_reading() {
  if (m_state != nullptr) {
    m_state->resume_reading();
  }
}

std::size_t LineStream::input_bytes() const { return m_state == nullptr ? 0 : m_state->input_bytes(); }

std::size_t LineStream::unsent_bytes() const { return m_state == nullptr ? 0 : m_state->unsent_bytes(); }

void LineStream::close_after_sending() {
  if (m_state != nullptr) {
    std::exchange(m_state, nullptr)->close_after_sending();
  }
}

TcpListener::TcpListener(uv_loop_t* loop, Handler on_connection)
    : m_tcp(new uv_tcp_t), m_on_connection(std::move(on_connection)) {
  uv_tcp_init(loop, m_tcp);
  m_tcp->data = this;
}

TcpListener::~TcpListener() {
  uv_close(reinterpret_cast<uv_handle_t*>(m_tcp),
           [](uv_handle_t* handle) { delete reinterpret_cast<uv_tcp_t*>(handle); });
}

tl::expected<void, std::string> TcpListener::listen(const Endpoint& endpoint) {
  auto address = to_socket_address(endpoint);
  if (!address.has_value()) {
    return tl::unexpected("cannot listen, because this is not an IP address: " + endpoint.ip);
  }
  int status = uv_tcp_bind(m_tcp, address->get(), 0);
  if (status == 0) {
    status = uv_listen(reinterpret_cast<uv_stream_t*>(m_tcp), kListenBacklog, [](uv_stream_t* listener, int error) {
      if (error == 0) {
        static_cast<TcpListener*>(listener->data)->m_on_connection(listener);
      }
    });
  }
  if (status != 0) {
    return tl::unexpected("cannot listen on " + endpoint.ip + ":" + std::to_string(endpoint.port) + ": " +
                          uv_strerror(status));
  }
  return {};
}

std::uint16_t TcpListener::port() const {
  sockaddr_storage address{};
  int length = sizeof(address);
  if (uv_tcp_getsockname(m_tcp, reinterpret_cast<sockaddr*>(&address), &length) != 0) {
    return 0;
  }
  return ntohs(reinterpret_cast<const sockaddr_in*>(&address)->sin_port);
}

}  // namespace teaselrudder
