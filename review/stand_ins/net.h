#pragma once

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace teaselrudder::review {

using Milliseconds = std::chrono::milliseconds;

/// Returns the time since the first call.
Milliseconds elapsed();

void sleep_for(Milliseconds duration);

/// Writes the record of a case, one line per event, with the time since the begin of the run.
class Record {
 public:
  explicit Record(const std::string& path);
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;
  ~Record();

  void line(const std::string& text);

 private:
  std::mutex m_mutex;
  std::FILE* m_file;
};

/// A TCP connection with blocking calls.
class Connection {
 public:
  explicit Connection(int descriptor) : m_descriptor(descriptor) {}
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  ~Connection();

  /// Returns the next line without its line break, or nothing after the end of the connection or `timeout`.
  std::optional<std::string> read_line(std::optional<Milliseconds> timeout = std::nullopt);
  std::optional<std::string> read_bytes(std::size_t count);
  bool send(std::string_view text) const;
  /// Ends the connection in both directions; a blocked call of another thread returns.
  void shut_down() const;
  /// Returns true if the other side has ended the connection.
  bool has_ended() const { return m_ended; }

 private:
  bool fill(std::optional<Milliseconds> timeout);

  int m_descriptor;
  bool m_ended = false;
  std::string m_buffer;
};

/// Accepts connections on a free port of 127.0.0.1 and serves each one on a thread of its own.
class Listener {
 public:
  using Handler = std::function<void(Connection&)>;

  explicit Listener(Handler handler);
  std::uint16_t port() const { return m_port; }

 private:
  std::uint16_t m_port = 0;
};

/// Returns a port of 127.0.0.1 that is free now.
std::uint16_t free_port();

/// Connects to a port of 127.0.0.1. Returns -1 on failure.
int connect_to(std::uint16_t port);

/// A request of the HTTP/1.1 subset that the platform's interfaces use.
struct HttpRequest {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  /// Names are in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
};

struct HttpResponse {
  int status = 200;
  std::string body;
};

/// Serves HTTP requests on a free port of 127.0.0.1.
class HttpServer {
 public:
  using Handler = std::function<HttpResponse(const HttpRequest&)>;

  explicit HttpServer(Handler handler);
  std::uint16_t port() const { return m_listener.port(); }

 private:
  Handler m_handler;
  Listener m_listener;
};

/// Sends GET `path` to a port of 127.0.0.1 and returns the status, or 0 without an answer.
int get_status(std::uint16_t port, const std::string& path);

}  // namespace teaselrudder::review
