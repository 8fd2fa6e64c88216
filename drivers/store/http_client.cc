#include "drivers/store/http_client.h"

#include <h2o.h>
#include <h2o/http1client.h>

#include <span>
#include <utility>

#include "drivers/net/socket_address.h"

namespace teaselrudder {

namespace {

// Timeout of h2o's HTTP client in milliseconds. It never expires first, because the users of this class have their own,
// shorter timeouts.
constexpr std::uint64_t kH2oTimeoutMs = std::uint64_t{24} * 60 * 60 * 1000;

std::string request_text(const Endpoint& server, const HttpCall& call) {
  std::string text = call.method + " " + call.path;
  text += " HTTP/1.1\r\nhost: " + server.ip + ":" + std::to_string(server.port) + "\r\n";
  for (const auto& [name, value] : call.headers) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  if (!call.body.empty()) {
    text += "content-type: application/json\r\n";
  }
  if (!call.body.empty() || call.method == "POST") {
    text += "content-length: " + std::to_string(call.body.size()) + "\r\n";
  }
  text += "connection: close\r\n\r\n";
  text += call.body;
  return text;
}

}  // namespace

struct HttpClient::Context {
  h2o_http1client_ctx_t client{};
  // On the heap, because the loop releases its timer handle only after the destruction of the client.
  std::unique_ptr<h2o_timeout_t> timeout = std::make_unique<h2o_timeout_t>();
};

class HttpClient::Exchange : public HttpExchange {
 public:
  Exchange(Context& context, const Endpoint& server, std::string request, HttpExchangeEvents& events)
      : m_request(std::move(request)), m_events(events) {
    m_buffer = h2o_iovec_init(m_request.data(), m_request.size());
    const h2o_iovec_t host = h2o_iovec_init(server.ip.data(), server.ip.size());
    h2o_http1client_connect(&m_client, this, &context.client, host, server.port, 0, on_connect);
  }
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;
  ~Exchange() override {
    if (m_client != nullptr) {
      h2o_http1client_cancel(m_client);
    }
  }

 private:
  static Exchange& self(h2o_http1client_t* client) { return *static_cast<Exchange*>(client->data); }

  static h2o_http1client_head_cb on_connect(h2o_http1client_t* client, const char* error, h2o_iovec_t** buffers,
                                            std::size_t* buffer_count, int* method_is_head) {
    Exchange& exchange = self(client);
    if (error != nullptr) {
      exchange.fail(error);
      return nullptr;
    }
    *buffers = &exchange.m_buffer;
    *buffer_count = 1;
    *method_is_head = 0;
    exchange.m_events.on_http_connected();
    return on_head;
  }

  static h2o_http1client_body_cb on_head(h2o_http1client_t* client, const char* error, int /*minor_version*/,
                                         int status, h2o_iovec_t /*message*/, st_h2o_header_t* headers,
                                         std::size_t header_count, int /*head_length*/) {
    Exchange& exchange = self(client);
    if (error != nullptr && error != h2o_http1client_error_is_eos) {
      exchange.fail(error);
      return nullptr;
    }
    exchange.m_events.on_http_status(status);
    for (const h2o_header_t& header : std::span(headers, header_count)) {
      exchange.m_events.on_http_header({header.name->base, header.name->len}, {header.value.base, header.value.len});
    }
    if (error == nullptr) {
      return on_body;
    }
    exchange.end();
    return nullptr;
  }

  static int on_body(h2o_http1client_t* client, const char* error) {
    Exchange& exchange = self(client);
    h2o_buffer_t*& input = client->sock->input;
    if (input->size > 0) {
      exchange.m_events.on_http_body({input->bytes, input->size});
      h2o_buffer_consume(&input, input->size);
    }
    if (error == h2o_http1client_error_is_eos) {
      exchange.end();
    } else if (error != nullptr) {
      exchange.fail(error);
    }
    return 0;
  }

  // h2o frees its client object after it has reported the end or a failure.
  void end() {
    m_client = nullptr;
    m_events.on_http_end();
  }
  void fail(const char* reason) {
    m_client = nullptr;
    m_events.on_http_failed(reason);
  }

  std::string m_request;
  HttpExchangeEvents& m_events;
  h2o_iovec_t m_buffer{};
  h2o_http1client_t* m_client = nullptr;
};

HttpClient::HttpClient(uv_loop_t* loop) : m_context(std::make_unique<Context>()) {
  h2o_timeout_init(loop, m_context->timeout.get(), kH2oTimeoutMs);
  m_context->client.loop = loop;
  m_context->client.io_timeout = m_context->timeout.get();
}

HttpClient::~HttpClient() {
  h2o_timeout_t* const timeout = m_context->timeout.release();
  timeout->_backend.timer.data = timeout;
  // h2o_timeout_dispose() closes the handle without a callback, which leaves no point at which its memory can be freed.
  uv_close(reinterpret_cast<uv_handle_t*>(&timeout->_backend.timer),
           [](uv_handle_t* handle) { delete static_cast<h2o_timeout_t*>(handle->data); });
}

std::unique_ptr<HttpExchange> HttpClient::start(const Endpoint& server, const HttpCall& call,
                                                HttpExchangeEvents& events) {
  // h2o would resolve any other text as a host name, in threads of its own.
  const auto address = to_socket_address(server);
  if (!address.has_value() || address->storage.ss_family != AF_INET) {
    return nullptr;
  }
  return std::make_unique<Exchange>(*m_context, server, request_text(server, call), events);
}

std::unique_ptr<HttpExchange> HttpClient::post(const Endpoint& server, std::string_view path, std::string_view body,
                                               HttpExchangeEvents& events) {
  return start(server, {.path = std::string(path), .headers = {}, .body = std::string(body)}, events);
}

}  // namespace teaselrudder
