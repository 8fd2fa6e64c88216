#include "drivers/http/http_server.h"

#include <arpa/inet.h>
#include <h2o.h>
#include <h2o/http1.h>
#include <h2o/http2.h>
#include <sys/epoll.h>

#include <array>
#include <unordered_map>
#include <utility>
#include <vector>

namespace teaselrudder {

namespace {

/// Maximum time that a connection may be idle or that a client may take to send the head of a request. With a shorter
/// time, the server could close a connection that a load balancer keeps for reuse just as it sends a request.
constexpr std::uint64_t kIdleTimeoutMs = 60000;

/// Maximum number of open requests on one HTTP/2 connection. Callers use one connection for many sessions.
constexpr std::size_t kMaxRequestsPerConnection = 256;

/// Number of bytes by which a request body may exceed the maximum and still be read completely, so that the response
/// states the reason. For larger bodies on HTTP/2, h2o only resets the stream, which states no reason.
constexpr std::size_t kOversizeAllowanceBytes = 65536;

/// Maximum number of disconnects that one epoll_wait() call returns.
constexpr int kMaxDisconnectsPerCall = 64;

/// Maximum number of loop iterations in which dispose() waits for connections to close. Each needs two or three.
constexpr int kMaxClosingIterations = 1000;

constexpr int kListenBacklog = 1024;
constexpr int kBodyTooLargeStatus = 413;
constexpr int kServiceUnavailableStatus = 503;
constexpr int kHttp2Version = 0x200;

const char* reason_phrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 409:
      return "Conflict";
    case 413:
      return "Payload Too Large";
    case 429:
      return "Too Many Requests";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Unknown";
  }
}

std::string to_string(const h2o_iovec_t& text) { return std::string(text.base, text.len); }

}  // namespace

/// Holds everything that h2o and libuv point to. It outlives the server if a connection cannot be closed.
class HttpServer::State {
 public:
  State(EventLoop& loop, HttpHandler& handler, std::size_t max_body_bytes);
  State(const State&) = delete;
  State& operator=(const State&) = delete;
  ~State() = default;

  tl::expected<void, std::string> listen(const Endpoint& endpoint);
  std::uint16_t port() const { return m_port; }
  void respond(HttpRequestId id, const HttpResponse& response);
  void begin_stop(std::function<void()> drained);
  void close_idle_connections();
  std::size_t open_requests() const { return m_requests.size(); }
  std::size_t connections() const { return m_connections.size(); }

  /// Closes all connections immediately and frees the memory that h2o holds.
  void dispose();

  /// Returns true if dispose() closed all connections and freed everything.
  bool disposed() const { return m_disposed; }

 private:
  /// An accepted connection.
  struct Connection {
    State* state = nullptr;
    std::uint64_t id = 0;
    h2o_socket_t* socket = nullptr;
    bool is_http2 = false;
    bool client_disconnected = false;
    /// The server has shut down the reading direction, so the end of the input does not mean that the client
    /// disconnected.
    bool closing = false;
    /// The most recent open request; zero if there is none. Used for HTTP/1.1, which has one open request at a time.
    HttpRequestId open_request;
  };

  /// Allocated in the memory pool of the h2o request, whose disposal calls on_request_disposed().
  struct RequestRecord {
    State* state = nullptr;
    HttpRequestId id;
    h2o_req_t* request = nullptr;
    std::uint64_t connection_id = 0;
  };

  struct Handler {
    h2o_handler_t super;
    State* state;
  };

  struct ErrorResponseFilter {
    h2o_filter_t super;
    State* state;
  };

  /// Output stream that replaces the body of an error response that h2o generated.
  struct BodyReplacement {
    h2o_ostream_t super;
    h2o_iovec_t body;
  };

  void configure(std::size_t max_body_bytes);
  static void on_accept(uv_stream_t* listener, int status);
  void accept(uv_stream_t* listener);
  static void on_socket_closed(void* data);
  static int on_request(h2o_handler_t* handler, h2o_req_t* request);
  void handle_request(h2o_req_t* request);
  static void on_request_disposed(void* record);
  static void on_disconnect_events(uv_poll_t* poll, int status, int events);
  void on_client_disconnected(Connection& connection);
  void remove_request(HttpRequestId id, std::uint64_t connection_id);
  void schedule_report();
  void deliver_reports();
  void send_response(h2o_req_t* request, const HttpResponse& response) const;
  static void on_h2o_error_response(h2o_filter_t* filter, h2o_req_t* request, h2o_ostream_t** slot);
  static void send_replacement(h2o_ostream_t* stream, h2o_req_t* request, h2o_iovec_t* bufs, std::size_t count,
                               h2o_send_state_t state);
  static Connection& connection_of(h2o_req_t* request);
  void close_handles();

  EventLoop& m_loop;
  HttpHandler& m_handler;
  std::size_t m_max_body_bytes;
  h2o_globalconf_t m_config{};
  h2o_context_t m_context{};
  h2o_accept_ctx_t m_accept{};
  uv_tcp_t m_listener{};
  bool m_listening = false;
  bool m_stopping = false;
  /// dispose() was called. The handler must not be called from then on.
  bool m_disposing = false;
  bool m_disposed = false;
  std::uint16_t m_port = 0;
  /// Descriptor of an epoll instance that watches all connections for disconnects by the client. h2o does not read from
  /// an HTTP/1.1 connection while a request is open, so it would notice a disconnect only when it sends the response.
  int m_disconnect_epoll = -1;
  uv_poll_t m_disconnect_poll{};
  /// Defers the calls of the handler for disconnected clients until the h2o callback that noticed them has returned.
  uv_timer_t m_report_timer{};
  std::vector<HttpRequestId> m_disconnected_requests;
  std::function<void()> m_on_drained;
  std::uint64_t m_last_connection_id = 0;
  std::uint64_t m_last_request_id = 0;
  std::unordered_map<std::uint64_t, std::unique_ptr<Connection>> m_connections;
  std::unordered_map<HttpRequestId, RequestRecord*> m_requests;
};

HttpServer::State::State(EventLoop& loop, HttpHandler& handler, std::size_t max_body_bytes)
    : m_loop(loop),
      m_handler(handler),
      m_max_body_bytes(max_body_bytes),
      m_disconnect_epoll(epoll_create1(EPOLL_CLOEXEC)) {
  configure(max_body_bytes);
  h2o_context_init(&m_context, loop.uv_loop(), &m_config);
  m_accept.ctx = &m_context;
  m_accept.hosts = m_config.hosts;
  uv_poll_init(loop.uv_loop(), &m_disconnect_poll, m_disconnect_epoll);
  m_disconnect_poll.data = this;
  uv_poll_start(&m_disconnect_poll, UV_READABLE, &State::on_disconnect_events);
  uv_timer_init(loop.uv_loop(), &m_report_timer);
  m_report_timer.data = this;
}

void HttpServer::State::configure(std::size_t max_body_bytes) {
  h2o_config_init(&m_config);
  m_config.server_name = h2o_iovec_init(H2O_STRLIT("teaselrudder"));
  m_config.max_request_entity_size = max_body_bytes + kOversizeAllowanceBytes;
  m_config.http1.req_timeout = kIdleTimeoutMs;
  m_config.http2.idle_timeout = kIdleTimeoutMs;
  m_config.http2.max_concurrent_requests_per_connection = kMaxRequestsPerConnection;
  h2o_hostconf_t* host = h2o_config_register_host(&m_config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
  h2o_pathconf_t* path = h2o_config_register_path(host, "/", 0);
  auto* handler = reinterpret_cast<Handler*>(h2o_create_handler(path, sizeof(Handler)));
  handler->super.on_req = &State::on_request;
  handler->state = this;
  // h2o sends errors that it detects before it selects a path, such as oversized bodies, through the fallback path.
  auto* filter =
      reinterpret_cast<ErrorResponseFilter*>(h2o_create_filter(&host->fallback_path, sizeof(ErrorResponseFilter)));
  filter->super.on_setup_ostream = &State::on_h2o_error_response;
  filter->state = this;
}

tl::expected<void, std::string> HttpServer::State::listen(const Endpoint& endpoint) {
  sockaddr_storage address{};
  if (uv_ip4_addr(endpoint.ip.c_str(), endpoint.port, reinterpret_cast<sockaddr_in*>(&address)) != 0 &&
      uv_ip6_addr(endpoint.ip.c_str(), endpoint.port, reinterpret_cast<sockaddr_in6*>(&address)) != 0) {
    return tl::unexpected("cannot listen for HTTP, because this is not an IP address: '" + endpoint.ip + "'");
  }
  uv_tcp_init(m_loop.uv_loop(), &m_listener);
  m_listener.data = this;
  m_listening = true;
  int status = uv_tcp_bind(&m_listener, reinterpret_cast<sockaddr*>(&address), 0);
  if (status == 0) {
    status = uv_listen(reinterpret_cast<uv_stream_t*>(&m_listener), kListenBacklog, &State::on_accept);
  }
  if (status != 0) {
    return tl::unexpected("cannot listen for HTTP on " + endpoint.ip + ":" + std::to_string(endpoint.port) + ": " +
                          uv_strerror(status));
  }
  int length = sizeof(address);
  uv_tcp_getsockname(&m_listener, reinterpret_cast<sockaddr*>(&address), &length);
  // The port is at the same offset in sockaddr_in and sockaddr_in6.
  m_port = ntohs(reinterpret_cast<sockaddr_in*>(&address)->sin_port);
  m_loop.request_uv_iteration();
  return {};
}

void HttpServer::State::on_accept(uv_stream_t* listener, int status) {
  if (status == 0) {
    static_cast<State*>(listener->data)->accept(listener);
  }
}

void HttpServer::State::accept(uv_stream_t* listener) {
  auto* client = static_cast<uv_tcp_t*>(h2o_mem_alloc(sizeof(uv_tcp_t)));
  const auto free_client = [](uv_handle_t* handle) { free(handle); };
  uv_tcp_init(listener->loop, client);
  if (uv_accept(listener, reinterpret_cast<uv_stream_t*>(client)) != 0) {
    uv_close(reinterpret_cast<uv_handle_t*>(client), free_client);
    return;
  }
  uv_tcp_nodelay(client, 1);
  auto connection = std::make_unique<Connection>();
  connection->state = this;
  connection->id = ++m_last_connection_id;
  connection->socket = h2o_uv_socket_create(reinterpret_cast<uv_stream_t*>(client), free_client);
  connection->socket->on_close.cb = &State::on_socket_closed;
  connection->socket->on_close.data = connection.get();
  epoll_event interest{};
  interest.events = EPOLLRDHUP | EPOLLET;
  interest.data.u64 = connection->id;
  epoll_ctl(m_disconnect_epoll, EPOLL_CTL_ADD, h2o_socket_get_fd(connection->socket), &interest);
  h2o_socket_t* socket = connection->socket;
  m_connections.emplace(connection->id, std::move(connection));
  h2o_accept(&m_accept, socket);
}

void HttpServer::State::on_socket_closed(void* data) {
  const auto* connection = static_cast<Connection*>(data);
  State* state = connection->state;
  state->m_connections.erase(connection->id);
  if (state->m_on_drained && state->m_connections.empty()) {
    state->schedule_report();
  }
}

HttpServer::State::Connection& HttpServer::State::connection_of(h2o_req_t* request) {
  h2o_socket_t* socket = request->conn->callbacks->get_socket(request->conn);
  return *static_cast<Connection*>(socket->on_close.data);
}

int HttpServer::State::on_request(h2o_handler_t* handler, h2o_req_t* request) {
  reinterpret_cast<Handler*>(handler)->state->handle_request(request);
  return 0;
}

void HttpServer::State::handle_request(h2o_req_t* request) {
  Connection& connection = connection_of(request);
  connection.is_http2 = request->version >= kHttp2Version;
  if (m_disposing || (connection.client_disconnected && !connection.is_http2)) {
    send_response(request, {kServiceUnavailableStatus, "text/plain", ""});
    return;
  }
  if (request->entity.len > m_max_body_bytes) {
    send_response(request, m_handler.body_too_large());
    return;
  }
  auto* record = new (h2o_mem_alloc_shared(&request->pool, sizeof(RequestRecord), &State::on_request_disposed))
      RequestRecord{this, HttpRequestId(++m_last_request_id), request, connection.id};
  m_requests.emplace(record->id, record);
  connection.open_request = record->id;
  m_handler.on_http_request(record->id,
                            {to_string(request->method), to_string(request->path), to_string(request->entity)});
}

void HttpServer::State::on_request_disposed(void* record) {
  const auto* disposed = static_cast<RequestRecord*>(record);
  State* state = disposed->state;
  if (state->m_requests.contains(disposed->id)) {
    state->m_disconnected_requests.push_back(disposed->id);
    state->remove_request(disposed->id, disposed->connection_id);
    state->schedule_report();
  }
}

void HttpServer::State::remove_request(HttpRequestId id, std::uint64_t connection_id) {
  m_requests.erase(id);
  const auto found = m_connections.find(connection_id);
  if (found != m_connections.end() && found->second->open_request == id) {
    found->second->open_request = HttpRequestId();
  }
}

void HttpServer::State::on_disconnect_events(uv_poll_t* poll, int /*status*/, int /*events*/) {
  auto* state = static_cast<State*>(poll->data);
  std::array<epoll_event, kMaxDisconnectsPerCall> events{};
  const int count = epoll_wait(state->m_disconnect_epoll, events.data(), kMaxDisconnectsPerCall, 0);
  for (int index = 0; index < count; ++index) {
    const auto found = state->m_connections.find(events.at(static_cast<std::size_t>(index)).data.u64);
    if (found != state->m_connections.end() && !found->second->closing) {
      state->on_client_disconnected(*found->second);
    }
  }
}

void HttpServer::State::on_client_disconnected(Connection& connection) {
  connection.client_disconnected = true;
  const auto found = m_requests.find(connection.open_request);
  if (connection.is_http2 || found == m_requests.end()) {
    // h2o is reading from this connection and detects the disconnect itself.
    return;
  }
  h2o_req_t* request = found->second->request;
  m_disconnected_requests.push_back(connection.open_request);
  remove_request(connection.open_request, connection.id);
  schedule_report();
  // This response is sent only to make h2o end the request and close the connection.
  send_response(request, {kServiceUnavailableStatus, "text/plain", ""});
}

void HttpServer::State::schedule_report() {
  uv_timer_start(
      &m_report_timer, [](uv_timer_t* timer) { static_cast<State*>(timer->data)->deliver_reports(); }, 0, 0);
}

void HttpServer::State::deliver_reports() {
  if (m_disposing) {
    return;
  }
  for (const HttpRequestId id : std::exchange(m_disconnected_requests, {})) {
    m_handler.on_http_client_disconnected(id);
  }
  if (m_on_drained && m_connections.empty()) {
    std::exchange(m_on_drained, nullptr)();
  }
}

void HttpServer::State::respond(HttpRequestId id, const HttpResponse& response) {
  const auto found = m_requests.find(id);
  if (found == m_requests.end()) {
    return;
  }
  const RequestRecord record = *found->second;
  remove_request(id, record.connection_id);
  send_response(record.request, response);
  m_loop.request_uv_iteration();
}

void HttpServer::State::send_response(h2o_req_t* request, const HttpResponse& response) const {
  const Connection& connection = connection_of(request);
  if (m_stopping || connection.client_disconnected) {
    request->http1_is_persistent = 0;
  }
  request->res.status = response.status;
  request->res.reason = reason_phrase(response.status);
  request->res.content_length = response.body.size();
  const h2o_iovec_t type = h2o_strdup(&request->pool, response.content_type.data(), response.content_type.size());
  h2o_add_header(&request->pool, &request->res.headers, H2O_TOKEN_CONTENT_TYPE, nullptr, type.base, type.len);
  h2o_send_inline(request, response.body.data(), response.body.size());
}

void HttpServer::State::on_h2o_error_response(h2o_filter_t* filter, h2o_req_t* request, h2o_ostream_t** slot) {
  State* state = reinterpret_cast<ErrorResponseFilter*>(filter)->state;
  if (request->res.status == kBodyTooLargeStatus) {
    const HttpResponse response = state->m_handler.body_too_large();
    auto* replacement = reinterpret_cast<BodyReplacement*>(h2o_add_ostream(request, sizeof(BodyReplacement), slot));
    replacement->super.do_send = &State::send_replacement;
    replacement->body = h2o_strdup(&request->pool, response.body.data(), response.body.size());
    const h2o_iovec_t type = h2o_strdup(&request->pool, response.content_type.data(), response.content_type.size());
    request->res.content_length = response.body.size();
    h2o_set_header(&request->pool, &request->res.headers, H2O_TOKEN_CONTENT_TYPE, type.base, type.len, 1);
    slot = &replacement->super.next;
  }
  h2o_setup_next_ostream(request, slot);
}

void HttpServer::State::send_replacement(h2o_ostream_t* stream, h2o_req_t* request, h2o_iovec_t* /*bufs*/,
                                         std::size_t /*count*/, h2o_send_state_t state) {
  h2o_ostream_send_next(stream, request, &reinterpret_cast<BodyReplacement*>(stream)->body, 1, state);
}

void HttpServer::State::begin_stop(std::function<void()> drained) {
  if (m_stopping) {
    return;
  }
  m_stopping = true;
  m_on_drained = std::move(drained);
  if (m_listening) {
    uv_close(reinterpret_cast<uv_handle_t*>(&m_listener), nullptr);
    m_listening = false;
  }
  h2o_context_request_shutdown(&m_context);
  schedule_report();
  m_loop.request_uv_iteration();
}

void HttpServer::State::close_idle_connections() {
  for (const auto& [id, connection] : m_connections) {
    if (!connection->is_http2 && connection->open_request == HttpRequestId()) {
      connection->closing = true;
      shutdown(h2o_socket_get_fd(connection->socket), SHUT_RD);
    }
  }
  m_loop.request_uv_iteration();
}

void HttpServer::State::close_handles() {
  if (m_listening) {
    uv_close(reinterpret_cast<uv_handle_t*>(&m_listener), nullptr);
    m_listening = false;
  }
  uv_close(reinterpret_cast<uv_handle_t*>(&m_report_timer), nullptr);
  uv_close(reinterpret_cast<uv_handle_t*>(&m_disconnect_poll), nullptr);
}

void HttpServer::State::dispose() {
  if (m_disposing) {
    return;
  }
  m_disposing = true;
  m_stopping = true;
  m_on_drained = nullptr;
  while (!m_requests.empty()) {
    respond(m_requests.begin()->first, {kServiceUnavailableStatus, "text/plain", ""});
  }
  for (const auto& [id, connection] : m_connections) {
    connection->closing = true;
    shutdown(h2o_socket_get_fd(connection->socket), SHUT_RDWR);
  }
  for (int iteration = 0; iteration < kMaxClosingIterations && !m_connections.empty(); ++iteration) {
    m_loop.run_uv_iteration();
  }
  close_handles();
  m_loop.run_uv_iteration();
  close(m_disconnect_epoll);
  if (!m_connections.empty()) {
    return;
  }
  // In a graceful stop, h2o sends a second GOAWAY one second after the first and does not cancel its timer on disposal.
  h2o_timeout_unlink(&m_context.http2._graceful_shutdown_timeout);
  h2o_context_dispose(&m_context);
  h2o_config_dispose(&m_config);
  // The context contains the handles of h2o's timeouts, which libuv closes only in another iteration.
  m_loop.run_uv_iteration();
  m_disposed = true;
}

HttpServer::HttpServer(EventLoop& loop, HttpHandler& handler, std::size_t max_body_bytes)
    : m_state(std::make_unique<State>(loop, handler, max_body_bytes)) {}

HttpServer::~HttpServer() {
  m_state->dispose();
  if (!m_state->disposed()) {
    // h2o and libuv still point to the state, so its memory is leaked on purpose.
    static_cast<void>(m_state.release());
  }
}

tl::expected<void, std::string> HttpServer::listen(const Endpoint& endpoint) { return m_state->listen(endpoint); }

std::uint16_t HttpServer::port() const { return m_state->port(); }

void HttpServer::respond(HttpRequestId id, const HttpResponse& response) { m_state->respond(id, response); }

void HttpServer::begin_stop(std::function<void()> drained) { m_state->begin_stop(std::move(drained)); }

void HttpServer::close_idle_connections() { m_state->close_idle_connections(); }

void HttpServer::shut_down() { m_state->dispose(); }

std::size_t HttpServer::open_requests() const { return m_state->open_requests(); }

std::size_t HttpServer::connections() const { return m_state->connections(); }

}  // namespace teaselrudder
