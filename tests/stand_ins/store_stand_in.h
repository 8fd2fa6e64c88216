#pragma once

#include <uv.h>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace teaselrudder::testing {

/// In-memory test double of an etcd store: the etcd v3 JSON API over HTTP/1.1 on 127.0.0.1.
///
/// It serves range of one key, txn with comparisons of mod_revision, put, and watch of one key. Everything else gets
/// status 404. Faults can be injected.
class StoreStandIn {
 public:
  /// Listens on `port` of 127.0.0.1, or on a free port if it is 0. The event loop must run once more after the object
  /// is destroyed.
  explicit StoreStandIn(uv_loop_t* loop, std::uint16_t port = 0);
  StoreStandIn(const StoreStandIn&) = delete;
  StoreStandIn& operator=(const StoreStandIn&) = delete;
  ~StoreStandIn();

  std::uint16_t port() const { return m_port; }

  /// Direct access to the content, without a request.
  void put(const std::string& key, const std::string& value);
  void remove(const std::string& key);
  std::optional<std::string> value(const std::string& key) const;
  std::int64_t revision() const { return m_revision; }

  /// Discards the history of changes, so that watches from an earlier revision are cancelled.
  void compact() { m_history.clear(); }

  /// Returns the number of requests that arrived completely.
  std::size_t requests() const { return m_requests; }
  /// Returns the number of connected watches.
  std::size_t watches() const { return m_watches.size(); }

  /// Closes the listener and all connections, or listens again.
  void set_down(bool down);
  /// Delays every answer; the changes of a request still take effect at once.
  void set_delay(std::uint64_t milliseconds) { m_delay = milliseconds; }
  /// Closes the connection instead of answering the next `count` requests, whose changes take effect.
  void lose_answers(std::size_t count) { m_answers_to_lose = count; }
  /// Sets whether watches stay connected but report nothing.
  void set_watches_silent(bool silent) { m_watches_silent = silent; }
  /// Sets whether the bodies of answers are invalid JSON.
  void set_invalid_json(bool invalid_json) { m_invalid_json = invalid_json; }
  /// Sets whether answers are invalid HTTP.
  void set_invalid_http(bool invalid_http) { m_invalid_http = invalid_http; }
  /// Closes the connections of all watches.
  void drop_watches();

  /// Runs a command line: `put KEY VALUE`, `remove KEY`, `down`, `up`, `delay MS`, `lose COUNT`,
  /// `silent_watches on|off`, `garbage on|off`, `not_http on|off`, `drop_watches`, `compact`. Returns false if the
  /// command is unknown.
  bool run_command(const std::string& line);

 private:
  using ConnectionNumber = std::uint64_t;
  struct Connection;
  struct Entry {
    std::string value;
    std::int64_t modified = 0;
  };
  struct Change {
    std::int64_t revision = 0;
    std::string key;
    std::optional<std::string> value;
  };
  struct HttpResponse {
    int status = 200;
    std::string body;
  };
  struct DelayedAnswer;

  void listen(std::uint16_t port);
  void stop_listening();
  void on_connection();
  void on_bytes(ConnectionNumber number, std::string_view bytes);
  bool handle_next_request(ConnectionNumber number);
  HttpResponse respond(const std::string& path, const std::string& body);
  void answer(ConnectionNumber number, const HttpResponse& response);
  void send(ConnectionNumber number, const std::string& bytes);
  void close(ConnectionNumber number);
  std::string range(const std::string& body) const;
  std::string transact(const std::string& body);
  void start_watch(ConnectionNumber number, const std::string& body);
  void record(const std::string& key, std::optional<std::string> value);
  void send_change(ConnectionNumber number, const Change& change);
  void send_watch_line(ConnectionNumber number, const std::string& line);

  uv_loop_t* m_loop;
  uv_tcp_t* m_listener = nullptr;
  std::uint16_t m_port = 0;
  ConnectionNumber m_last_connection = 0;
  std::map<ConnectionNumber, Connection*> m_connections;
  std::map<ConnectionNumber, std::string> m_watches;
  std::set<DelayedAnswer*> m_delayed;
  std::map<std::string, Entry> m_entries;
  std::deque<Change> m_history;
  std::int64_t m_revision = 1;
  std::size_t m_requests = 0;
  std::uint64_t m_delay = 0;
  std::size_t m_answers_to_lose = 0;
  bool m_watches_silent = false;
  bool m_invalid_json = false;
  bool m_invalid_http = false;
};

}  // namespace teaselrudder::testing
