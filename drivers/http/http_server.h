#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "core/ids.h"
#include "drivers/event_loop/event_loop.h"
#include "tl/expected.hpp"

namespace teaselrudder {

/// Identifies an HTTP request within one server.
using HttpRequestId = StrongType<struct HttpRequestIdTag, std::uint64_t>;

/// An HTTP request with its complete body.
struct HttpRequest {
  std::string method;
  /// Path and query string, as the client sent them.
  std::string path;
  std::string body;
};

/// An HTTP response with its complete body.
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

  /// A request arrived. HttpServer::respond() must be called with the same id, during this call or later.
  virtual void on_http_request(HttpRequestId id, HttpRequest request) = 0;

  /// The client disconnected, or cancelled the request, before the response was sent. Never called from inside
  /// on_http_request() or respond().
  virtual void on_http_client_disconnected(HttpRequestId id) = 0;

  /// Returns the response to a request whose body exceeds the maximum size.
  virtual HttpResponse body_too_large() = 0;
};

/// A server for HTTP/1.1 and HTTP/2 with prior knowledge, based on h2o. It passes complete requests to a handler.
///
/// On HTTP/1.1, a client that closes the connection, or only its sending direction, counts as disconnected.
class HttpServer {
 public:
  /// `loop` and `handler` must outlive the server. `max_body_bytes` is the maximum size of a request body.
  HttpServer(EventLoop& loop, HttpHandler& handler, std::size_t max_body_bytes);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  /// Calls shut_down().
  ~HttpServer();

  /// Starts to accept connections at `endpoint`; with port 0 the system chooses a free port. Returns a one-line error
  /// if the address is invalid or cannot be bound.
  tl::expected<void, std::string> listen(const Endpoint& endpoint);

  /// Returns the port that the server listens on, or 0 before listen() has succeeded.
  std::uint16_t port() const;

  /// Sends the response to a request. Does nothing if the request already has a response or its client disconnected.
  void respond(HttpRequestId id, const HttpResponse& response);

  /// Begins the graceful stop: the server accepts no new connections, adds `connection: close` to each further HTTP/1.1
  /// response and sends GOAWAY on HTTP/2 connections. Idle HTTP/1.1 connections stay open, because a request may be in
  /// transit. Calls `drained` once when the last connection is closed.
  void begin_stop(std::function<void()> drained);

  /// Closes the HTTP/1.1 connections that have no open request. Requests that the kernel has already received on them
  /// are still served.
  void close_idle_connections();

  /// Closes all connections immediately and never calls the handler again. To be called before the handler is
  /// destroyed, and not from within a callback of the server.
  void shut_down();

  /// Returns the number of requests that have no response yet.
  std::size_t open_requests() const;

  /// Returns the number of open connections.
  std::size_t connections() const;

 private:
  class State;

  std::unique_ptr<State> m_state;
};

}  // namespace teaselrudder
