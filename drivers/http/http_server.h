#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "core/ids.h"
#include "drivers/event_loop/event_loop.h"
#include "tl/expected.hpp"

namespace teaselrudder {

/// One HTTP request that is open at a server.
using HttpRequestId = StrongType<struct HttpRequestIdTag, std::uint64_t>;

/// A complete HTTP request.
struct HttpRequest {
  std::string method;
  /// Path with query, as the client sent it.
  std::string path;
  std::string body;
};

/// A complete HTTP answer.
struct HttpResponse {
  int status = 200;
  std::string content_type;
  std::string body;
};

/// Receives the requests of an HttpServer.
class HttpHandler {
 public:
  HttpHandler() = default;
  HttpHandler(const HttpHandler&) = delete;
  HttpHandler& operator=(const HttpHandler&) = delete;
  virtual ~HttpHandler() = default;

  /// A request came in; HttpServer::respond() with the same id must follow, during this call or later.
  virtual void on_http_request(HttpRequestId id, HttpRequest request) = 0;

  /// The client of an unanswered request is gone. Never called from inside on_http_request() or respond().
  virtual void on_http_gone(HttpRequestId id) = 0;

  /// Returns the answer to a request whose body exceeds the bound.
  virtual HttpResponse body_too_large() = 0;
};

/// An HTTP/1.1 and HTTP/2 server (prior knowledge) on h2o, which hands complete requests to a handler.
///
/// A client that closes its side of an HTTP/1.1 connection, also only for sending, counts as gone.
class HttpServer {
 public:
  /// `loop` and `handler` must outlive the server. `max_body_bytes` bounds the body of a request.
  HttpServer(EventLoop& loop, HttpHandler& handler, std::size_t max_body_bytes);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  /// Does what shut_down() does.
  ~HttpServer();

  /// Starts to accept connections at `endpoint`; port 0 picks a free one. The error is one line.
  tl::expected<void, std::string> listen(const Endpoint& endpoint);

  /// Returns the port that the server listens on.
  std::uint16_t port() const;

  /// Answers a request. An answer to a request that is answered already, or whose client is gone, is dropped.
  void respond(HttpRequestId id, const HttpResponse& response);

  /// Begins the graceful stop: no new connections, `connection: close` on each further answer of HTTP/1.1 and GOAWAY on
  /// HTTP/2. Idle HTTP/1.1 connections stay, since a request may be on its way. Calls `drained` once, when the last
  /// connection has ended.
  void begin_stop(std::function<void()> drained);

  /// Ends HTTP/1.1 connections without an open request. Requests that the system received before are still served.
  void close_idle_connections();

  /// Breaks all connections and never calls the handler again. For the end of the process, before the handler goes. Not
  /// to be called from a callback of the server.
  void shut_down();

  /// Returns the number of requests without an answer.
  std::size_t open_requests() const;

  /// Returns the number of connections.
  std::size_t connections() const;

 private:
  class State;

  std::unique_ptr<State> m_state;
};

}  // namespace teaselrudder
