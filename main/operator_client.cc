#include "main/operator_client.h"

#include <h2o.h>

#include <nlohmann/json.hpp>
#include <utility>

namespace teaselrudder {

namespace {

/// Timeout of the connection in milliseconds. A change of the configuration waits for the store; the daemon answers
/// within a few seconds even if the store is not available.
constexpr std::uint64_t kIoTimeoutMs = 30000;

/// Maximum length of an answer in bytes. The longest lists have a row for each of about a thousand hosts.
constexpr std::size_t kMaxAnswerBytes = std::size_t{64} << 20;

/// Maximum number of loop iterations to wait for the handles of the loop to close.
constexpr int kMaxClosingRounds = 10;

std::string make_request(const Endpoint& daemon, const std::string& command, bool check_only) {
  const nlohmann::json document = {{"command", command}, {"check_only", check_only}};
  const std::string body = document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  const bool is_version_6 = daemon.ip.find(':') != std::string::npos;
  const std::string ip = is_version_6 ? "[" + daemon.ip + "]" : daemon.ip;
  return "POST /v1/commands HTTP/1.1\r\nhost: " + ip + ":" + std::to_string(daemon.port) +
         "\r\ncontent-type: application/json\r\nconnection: close\r\ncontent-length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

}  // namespace

/// A libuv loop and the state that the HTTP client of h2o needs.
struct OperatorClient::ClientLoop {
  uv_loop_t uv{};
  h2o_multithread_queue_t* queue = nullptr;
  h2o_multithread_receiver_t receiver{};
  h2o_timeout_t io_timeout{};
  h2o_http1client_ctx_t client{};
};

/// One request and its answer.
class OperatorClient::Exchange {
 public:
  explicit Exchange(std::string request) : m_request(std::move(request)) {}

  tl::expected<OperatorReply, std::string> run(ClientLoop& loop, const Endpoint& daemon) {
    h2o_http1client_connect(nullptr, this, &loop.client, h2o_iovec_init(daemon.ip.data(), daemon.ip.size()),
                            daemon.port, 0, &Exchange::on_connect);
    while (!m_done) {
      uv_run(&loop.uv, UV_RUN_ONCE);
    }
    if (!m_error.empty()) {
      return tl::unexpected(m_error);
    }
    return m_reply;
  }

 private:
  static Exchange& exchange_of(h2o_http1client_t* client) { return *static_cast<Exchange*>(client->data); }

  void finish(const std::string& error) {
    m_error = error;
    m_done = true;
  }

  static h2o_http1client_head_cb on_connect(h2o_http1client_t* client, const char* error, h2o_iovec_t** buffers,
                                            std::size_t* count, int* method_is_head) {
    Exchange& exchange = exchange_of(client);
    if (error != nullptr) {
      exchange.finish(error);
      return nullptr;
    }
    exchange.m_buffer = h2o_iovec_init(exchange.m_request.data(), exchange.m_request.size());
    *buffers = &exchange.m_buffer;
    *count = 1;
    *method_is_head = 0;
    return &Exchange::on_head;
  }

  static h2o_http1client_body_cb on_head(h2o_http1client_t* client, const char* error, int /*minor_version*/,
                                         int status, h2o_iovec_t /*message*/, h2o_header_t* /*headers*/,
                                         std::size_t /*header_count*/, int /*head_length*/) {
    Exchange& exchange = exchange_of(client);
    if (error != nullptr && error != h2o_http1client_error_is_eos) {
      exchange.finish(error);
      return nullptr;
    }
    exchange.m_reply.status = status;
    if (error == h2o_http1client_error_is_eos) {
      exchange.finish("");
      return nullptr;
    }
    return &Exchange::on_body;
  }

  static int on_body(h2o_http1client_t* client, const char* error) {
    Exchange& exchange = exchange_of(client);
    if (error != nullptr && error != h2o_http1client_error_is_eos) {
      exchange.finish(error);
      return -1;
    }
    h2o_buffer_t*& input = client->sock->input;
    exchange.m_reply.body.append(input->bytes == nullptr ? "" : input->bytes, input->size);
    h2o_buffer_consume(&input, input->size);
    if (exchange.m_reply.body.size() > kMaxAnswerBytes) {
      exchange.finish("the answer is longer than 64 MiB and was discarded");
      return -1;
    }
    if (error == h2o_http1client_error_is_eos) {
      exchange.finish("");
    }
    return 0;
  }

  std::string m_request;
  h2o_iovec_t m_buffer{};
  OperatorReply m_reply;
  std::string m_error;
  bool m_done = false;
};

OperatorClient::OperatorClient(Endpoint daemon) : m_daemon(std::move(daemon)), m_loop(std::make_unique<ClientLoop>()) {
  uv_loop_init(&m_loop->uv);
  m_loop->queue = h2o_multithread_create_queue(&m_loop->uv);
  h2o_multithread_register_receiver(m_loop->queue, &m_loop->receiver, h2o_hostinfo_getaddr_receiver);
  h2o_timeout_init(&m_loop->uv, &m_loop->io_timeout, kIoTimeoutMs);
  m_loop->client.loop = &m_loop->uv;
  m_loop->client.getaddr_receiver = &m_loop->receiver;
  m_loop->client.io_timeout = &m_loop->io_timeout;
}

OperatorClient::~OperatorClient() {
  h2o_multithread_unregister_receiver(m_loop->queue, &m_loop->receiver);
  h2o_multithread_destroy_queue(m_loop->queue);
  h2o_timeout_dispose(&m_loop->uv, &m_loop->io_timeout);
  for (int round = 0; round < kMaxClosingRounds; ++round) {
    uv_run(&m_loop->uv, UV_RUN_NOWAIT);
    if (uv_loop_close(&m_loop->uv) == 0) {
      return;
    }
  }
  // A handle that has not closed still points to the loop, so the memory of the loop is leaked.
  static_cast<void>(m_loop.release());
}

tl::expected<OperatorReply, std::string> OperatorClient::send(const std::string& command, bool check_only) {
  return Exchange(make_request(m_daemon, command, check_only)).run(*m_loop, m_daemon);
}

}  // namespace teaselrudder
