#pragma once

#include <uv.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "core/ids.h"
#include "tl/expected.hpp"

namespace teaselrudder {

/// Receives the events of a LineStream.
class LineStreamEvents {
 public:
  LineStreamEvents() = default;
  LineStreamEvents(const LineStreamEvents&) = delete;
  LineStreamEvents& operator=(const LineStreamEvents&) = delete;
  virtual ~LineStreamEvents() = default;

  /// The connection that connect() started is established.
  virtual void on_connected() {}
  /// A line arrived. `line` does not include its end, which is CR LF; it may contain either of the two alone.
  virtual void on_line(std::string_view line) = 0;
  /// The peer sent a line that is longer than the limit. The stream stops reading.
  virtual void on_line_too_long() = 0;
  /// Received data was processed, or queued data was sent: input_bytes() or unsent_bytes() may have changed.
  virtual void on_progress() {}
  /// The peer closed the connection, the connection broke, or connect() failed. No event follows.
  virtual void on_stream_end() = 0;
};

/// A TCP connection that exchanges lines of text, on a libuv loop.
class LineStream {
 public:
  /// Maximum number of bytes in the send queue. If the peer reads so slowly that the queue exceeds it, the stream shuts
  /// the connection down.
  static constexpr std::size_t kMaxUnsentBytes = std::size_t{4} << 20U;

  /// Time after close_after_sending() for which the connection waits for a peer that does not read.
  static constexpr unsigned int kMaxLingerMs = 5000;

  /// `events` must outlive the stream. `max_line_bytes` is the maximum length of a received line.
  LineStream(uv_loop_t* loop, std::size_t max_line_bytes, LineStreamEvents& events);
  LineStream(const LineStream&) = delete;
  LineStream& operator=(const LineStream&) = delete;
  /// Closes the connection immediately, without sending queued data.
  ~LineStream();

  /// Accepts the pending connection of `listener`. Returns false if that fails; then no event follows.
  bool accept_from(uv_stream_t* listener);

  /// Starts to connect to `endpoint`. on_connected() or on_stream_end() follows, never from inside this call.
  void connect(const Endpoint& endpoint);

  /// Sends `text` as it is; it must already contain the line ends.
  void send(std::string text);

  /// Stops to read and to report lines until resume_reading(), so that the peer has to wait. At most what has been read
  /// already is kept meanwhile.
  void pause_reading();
  /// Reports the lines that were kept and reads on, never from inside this call.
  void resume_reading();

  /// Returns the memory for received bytes that are kept because their line is not complete or reading is paused; zero
  /// if there are none.
  std::size_t input_bytes() const;
  /// Returns the number of bytes that wait for the peer to read.
  std::size_t unsent_bytes() const;

  /// Closes the connection after all queued data was sent, at the latest after kMaxLingerMs. No event follows.
  void close_after_sending();

 private:
  class State;
  State* m_state;
};

/// A listening TCP socket on a libuv loop.
class TcpListener {
 public:
  using Handler = std::function<void(uv_stream_t*)>;

  TcpListener(uv_loop_t* loop, Handler on_connection);
  TcpListener(const TcpListener&) = delete;
  TcpListener& operator=(const TcpListener&) = delete;
  ~TcpListener();

  /// Starts to accept connections at `endpoint`. Returns a one-line error if the address is invalid or cannot be bound.
  tl::expected<void, std::string> listen(const Endpoint& endpoint);

  /// Returns the port that the listener is bound to, or 0 if it is not bound.
  std::uint16_t port() const;

 private:
  uv_tcp_t* m_tcp;
  Handler m_on_connection;
};

}  // namespace teaselrudder
