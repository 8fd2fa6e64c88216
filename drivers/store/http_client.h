#pragma once

#include <uv.h>

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/ids.h"

namespace teaselrudder {

/// Receives the events of an exchange. No method may destroy the exchange or the client, whose code is still running;
/// the owner must do so later.
class HttpExchangeEvents {
 public:
  HttpExchangeEvents() = default;
  HttpExchangeEvents(const HttpExchangeEvents&) = delete;
  HttpExchangeEvents& operator=(const HttpExchangeEvents&) = delete;
  virtual ~HttpExchangeEvents() = default;

  /// The connection is established. From now on the request may reach the server.
  virtual void on_http_connected() = 0;
  virtual void on_http_status(int status) = 0;
  /// A header field of the response, after its status. `name` is in lower case.
  virtual void on_http_header(std::string_view name, std::string_view value) = 0;
  virtual void on_http_body(std::string_view bytes) = 0;
  /// The response is complete. No further event follows.
  virtual void on_http_end() = 0;
  /// The exchange failed. No further event follows.
  virtual void on_http_failed(std::string_view reason) = 0;
};

/// An HTTP request.
struct HttpCall {
  std::string method = "POST";
  /// Path and query string.
  std::string path;
  /// Additional header fields as pairs of name and value.
  std::vector<std::pair<std::string, std::string>> headers;
  /// JSON document; empty for a request without a body.
  std::string body;
};

/// One HTTP request and its response. Its destruction cancels the exchange.
class HttpExchange {
 public:
  HttpExchange() = default;
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;
  virtual ~HttpExchange() = default;
};

/// Sends HTTP/1.1 requests on a libuv loop and opens a new connection for each.
///
/// Connections are not reused: there are few calls to the store, and a request on an idle connection that the server is
/// just closing would have an unknown outcome.
class HttpClient {
 public:
  /// `loop` must run once more after the client is destroyed, to release its handles.
  explicit HttpClient(uv_loop_t* loop);
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;
  ~HttpClient();

  /// Starts a request. A failure may be reported before this method returns. Returns null, and no event follows, if the
  /// address of `server` is not an IPv4 address: h2o's HTTP client would look up any other address by name. The
  /// exchange must be destroyed before the client.
  std::unique_ptr<HttpExchange> start(const Endpoint& server, const HttpCall& call, HttpExchangeEvents& events);

  /// Starts a POST request with a JSON body; see start().
  std::unique_ptr<HttpExchange> post(const Endpoint& server, std::string_view path, std::string_view body,
                                     HttpExchangeEvents& events);

 private:
  struct Context;
  class Exchange;

  std::unique_ptr<Context> m_context;
};

}  // namespace teaselrudder
