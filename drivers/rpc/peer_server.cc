#include "drivers/rpc/peer_server.h"

#include <capnp/rpc-twoparty.h>

#include <utility>

#include "drivers/net/socket_address.h"
#include "drivers/rpc/peer_codec.h"
#include "drivers/rpc/peer_connection.h"

namespace teaselrudder {

namespace {

// Delay before the next accept() after a failed one. The usual cause is a lack of file descriptors, which lasts a
// while.
constexpr auto kAcceptRetryDelay = 100 * kj::MILLISECONDS;

// Initial size of a response message. Larger responses get additional segments.
constexpr capnp::MessageSize kAnswerSizeHint{256, 0};

kj::Exception make_exception(kj::Exception::Type type, const std::string& message) {
  return {type, __FILE__, __LINE__, kj::heapString(message.c_str(), message.size())};
}

}  // namespace

// The generated base classes have no virtual destructor: Cap'n Proto destroys a server through its concrete type.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wnon-virtual-dtor"

/// Implements the generated RPC interface and passes each call to the PeerServer.
class PeerServer::Service : public rpc::Peer::Server {
 public:
  explicit Service(std::shared_ptr<PeerServer*> server) : m_server(std::move(server)) {}
  virtual ~Service() = default;

  kj::Promise<void> submit(SubmitContext context) override { return handle<SubmitReply>(context); }
  kj::Promise<void> transact(TransactContext context) override { return handle<SubmitReply>(context); }
  kj::Promise<void> probe(ProbeContext context) override { return handle<ProbeReply>(context); }
  kj::Promise<void> suspects(SuspectsContext context) override { return handle<SuspicionReply>(context); }
  kj::Promise<void> fetchConfiguration(FetchConfigurationContext context) override {
    return handle<ConfigurationReply>(context);
  }

 private:
  template <typename Reply, typename Context>
  kj::Promise<void> handle(Context context) {
    if (*m_server == nullptr) {
      return make_exception(kj::Exception::Type::DISCONNECTED, "the server of the called host is shut down");
    }
    return (*m_server)->template handle_call<Reply>(context);
  }

  std::shared_ptr<PeerServer*> m_server;
};

#pragma GCC diagnostic pop

/// A connection that another host opened.
struct PeerServer::IncomingConnection {
  IncomingConnection(kj::Own<kj::AsyncIoStream> accepted, rpc::Peer::Client service, std::size_t max_bytes)
      : stream(kj::mv(accepted)),
        network(*stream, capnp::rpc::twoparty::Side::SERVER, peer_reader_options()),
        system(capnp::makeRpcServer(network, kj::mv(service))) {
    system.setFlowLimit(max_bytes / sizeof(capnp::word));
  }

  kj::Own<kj::AsyncIoStream> stream;
  capnp::TwoPartyVatNetwork network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> system;
};

PeerServer::PeerServer(kj::AsyncIoContext& io, const Clock& clock, const PeerRpcSettings& settings, Counters& counters)
    : m_io(io),
      m_clock(clock),
      m_settings(settings),
      m_counters(counters),
      m_self(std::make_shared<PeerServer*>(this)),
      m_service(kj::heap<Service>(m_self)),
      m_event_tasks(*this),
      m_connection_tasks(*this) {}

PeerServer::~PeerServer() noexcept { *m_self = nullptr; }

tl::expected<std::uint16_t, std::string> PeerServer::listen(const Endpoint& endpoint) {
  auto address = to_socket_address(endpoint);
  if (!address.has_value()) {
    return tl::unexpected("cannot listen for other hosts: '" + endpoint.ip + "' is not an IP address");
  }
  try {
    m_listener = m_io.provider->getNetwork().getSockaddr(address->get(), address->length)->listen();
  } catch (const kj::Exception& exception) {
    return tl::unexpected(std::string(exception.getDescription().cStr()));
  }
  m_connection_tasks.add(accept_connections());
  return static_cast<std::uint16_t>(m_listener->getPort());
}

kj::Promise<void> PeerServer::accept_connections() {
  return m_listener->accept()
      .then([this](kj::Own<kj::AsyncIoStream>&& stream) -> kj::Promise<void> {
        serve_connection(kj::mv(stream));
        return kj::READY_NOW;
      })
      .catch_([this](kj::Exception&&) -> kj::Promise<void> {
        m_counters.count("peer_accept_failures");
        return m_io.provider->getTimer().afterDelay(kAcceptRetryDelay);
      })
      .then([this] { return accept_connections(); });
}

void PeerServer::serve_connection(kj::Own<kj::AsyncIoStream> stream) {
  if (m_open_connection_count >= m_settings.max_incoming_connections) {
    m_counters.count("peer_incoming_connections_refused");
    return;
  }
  set_peer_socket_options(*stream);
  ++m_open_connection_count;
  auto incoming = kj::heap<IncomingConnection>(kj::mv(stream), m_service, m_settings.max_incoming_bytes);
  auto closed = incoming->network.onDisconnect();
  m_connection_tasks.add(closed.attach(kj::mv(incoming), kj::defer([this] { --m_open_connection_count; })));
}

template <typename Reply, typename Context>
kj::Promise<void> PeerServer::handle_call(Context context) {
  if (m_open_calls.size() >= m_settings.max_incoming_calls) {
    m_counters.count("peer_incoming_calls_refused");
    return make_exception(kj::Exception::Type::OVERLOADED, "the called host has too many open calls");
  }
  auto request = decode_message(context.getParams());
  if (!request.has_value()) {
    m_counters.count("peer_bad_calls");
    return make_exception(kj::Exception::Type::FAILED, request.error().message);
  }
  context.releaseParams();
  context.allowCancellation();

  const PeerCallId call(++m_last_call_id);
  auto open = kj::newPromiseAndFulfiller<PeerResponse>();
  m_open_calls.emplace(call, kj::mv(open.fulfiller));
  auto answered =
      open.promise
          .then([self = m_self, context](PeerResponse&& response) mutable -> kj::Promise<void> {
            const auto* reply = std::get_if<Reply>(&response);
            if (reply == nullptr) {
              return make_exception(kj::Exception::Type::FAILED, "the type of the response does not match the call");
            }
            auto results = context.getResults(kAnswerSizeHint);
            encode_message(*reply, results);
            if (results.totalSize().wordCount * sizeof(capnp::word) > kMaxPeerMessageBytes) {
              if (*self != nullptr) {
                (*self)->m_counters.count("peer_oversized_answers");
              }
              return make_exception(kj::Exception::Type::FAILED, "the response exceeds the maximum message size");
            }
            return kj::READY_NOW;
          })
          .attach(kj::defer([self = m_self, call] {
            if (*self != nullptr) {
              (*self)->on_call_released(call);
            }
          }));
  m_events->on_peer_request(call, std::move(*request), m_clock.now());
  return answered;
}

void PeerServer::answer(PeerCallId call, PeerResponse response) {
  const auto found = m_open_calls.find(call);
  if (found == m_open_calls.end()) {
    m_counters.count("peer_answers_dropped");
    return;
  }
  auto fulfiller = kj::mv(found->second);
  m_open_calls.erase(found);
  fulfiller->fulfill(std::move(response));
}

void PeerServer::on_call_released(PeerCallId call) {
  const bool was_answered = m_open_calls.erase(call) == 0;
  if (was_answered) {
    return;
  }
  m_counters.count("peer_incoming_calls_cancelled");
  m_event_tasks.add(kj::evalLater([this, call] { m_events->on_peer_request_cancelled(call, m_clock.now()); }));
}

void PeerServer::taskFailed(kj::Exception&& exception) {
  (void)exception;
  m_counters.count("peer_incoming_connections_failed");
}

}  // namespace teaselrudder
