#pragma once

#include <uv.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace teaselrudder::testing {

/// A TCP connection with a timer on an event loop. Create it with new; the event loop deletes it after close().
class TcpStream {
 public:
  explicit TcpStream(uv_loop_t* loop);
  TcpStream(const TcpStream&) = delete;
  TcpStream& operator=(const TcpStream&) = delete;
  virtual ~TcpStream() = default;

  /// Accepts the pending connection of `listener`.
  void accept_from(uv_stream_t* listener);
  /// Connects to 127.0.0.1. Calls on_connected() or on_end() later, or close() at once if the attempt cannot start.
  void connect(std::uint16_t port);
  void send(std::string bytes);
  /// Sends `bytes` and then closes the connection.
  void send_and_close(std::string bytes);
  void close();
  bool is_closed() const { return m_closed; }
  /// Calls on_timer() once after `delay_ms`. Replaces a running timer.
  void start_timer(std::uint64_t delay_ms);

 protected:
  virtual void on_connected() {}
  virtual void on_data(std::string_view data) = 0;
  /// Called when the other side closed the connection, or the connection failed.
  virtual void on_end() { close(); }
  virtual void on_timer() {}
  /// Called once, by close().
  virtual void on_close() {}

 private:
  void start_reading();
  static void on_handle_closed(uv_handle_t* handle);

  uv_tcp_t m_tcp{};
  uv_timer_t m_timer{};
  int m_open_handles = 2;
  bool m_closed = false;
};

/// A listening TCP socket on 127.0.0.1. Create it with new; the event loop deletes it after close().
class TcpListener {
 public:
  using Handler = std::function<void(uv_stream_t*)>;

  /// Listens on `port`, or on a free port if it is zero. Throws std::runtime_error on failure. `on_connection` is
  /// called with the listener for each pending connection, to be accepted with TcpStream::accept_from().
  TcpListener(uv_loop_t* loop, std::uint16_t port, Handler on_connection);
  TcpListener(const TcpListener&) = delete;
  TcpListener& operator=(const TcpListener&) = delete;

  /// Returns whether `port` is currently free for a listener.
  static bool is_port_free(uv_loop_t* loop, std::uint16_t port);

  std::uint16_t port() const { return m_port; }
  void close();

 private:
  ~TcpListener() = default;

  uv_tcp_t m_tcp{};
  std::uint16_t m_port = 0;
  Handler m_on_connection;
};

}  // namespace teaselrudder::testing
