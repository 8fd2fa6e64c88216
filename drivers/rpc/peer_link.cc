#include "drivers/rpc/peer_link.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "drivers/rpc/peer_codec.h"

namespace teaselrudder {

namespace {

// Enough doublings to reach any reasonable maximum, and too few to overflow.
constexpr unsigned kMaxDoublings = 20;

kj::Duration to_kj(Duration duration) { return std::max<std::int64_t>(duration.count(), 0) * kj::MICROSECONDS; }

kj::Exception unreachable(const std::string& reason) {
  return {kj::Exception::Type::DISCONNECTED, __FILE__, __LINE__, kj::heapString(reason.c_str(), reason.size())};
}

PeerLink::Outcome failure(PeerErrorKind kind, bool may_have_been_delivered, std::string message) {
  return tl::unexpected(PeerError{kind, may_have_been_delivered, std::move(message)});
}

std::string text_of(const kj::Exception& exception) { return exception.getDescription().cStr(); }

template <typename Message, typename Call>
Call encoded(const Message& message, Call call) {
  encode_message(message, call);
  return call;
}

}  // namespace

PeerLink::PeerLink(kj::AsyncIoContext& io, const Endpoint& peer, const PeerRpcSettings& settings,
                   std::mt19937_64& random, Counters& counters)
    : m_io(io),
      m_address(to_socket_address(peer)),
      m_settings(settings),
      m_random(random),
      m_counters(counters),
      m_retry_at(io.provider->getTimer().now()) {}

kj::Promise<PeerLink::Outcome> PeerLink::call(PeerRequest request, Duration timeout) {
  ++m_calls;
  auto state = std::make_shared<CallState>();
  auto answered =
      connected().then([this, state, request = std::move(request)](
                           kj::Own<PeerConnection>&& connection) { return send(*state, kj::mv(connection), request); },
                       [this](kj::Exception&& exception) -> kj::Promise<Outcome> {
                         m_counters.count("peer_calls_unreachable");
                         return failure(PeerErrorKind::kUnreachable, false, text_of(exception));
                       });
  auto expired =
      m_io.provider->getTimer().afterDelay(to_kj(timeout)).then([this, state] { return on_timeout(*state); });
  return answered.exclusiveJoin(kj::mv(expired)).attach(kj::defer([this] { --m_calls; }));
}

kj::Promise<kj::Own<PeerConnection>> PeerLink::connected() {
  if (m_connection.get() != nullptr) {
    return kj::addRef(*m_connection);
  }
  if (const auto reason = reason_not_to_connect(); reason.has_value()) {
    return unreachable(*reason);
  }
  if (!m_connecting) {
    start_connecting();
  }
  ++m_waiting;
  return m_attempt.addBranch()
      .then([this]() -> kj::Promise<kj::Own<PeerConnection>> {
        if (m_connection.get() == nullptr) {
          return unreachable("the connection was closed at once");
        }
        return kj::addRef(*m_connection);
      })
      .attach(kj::defer([this] { --m_waiting; }));
}

std::optional<std::string> PeerLink::reason_not_to_connect() {
  if (!m_address.has_value()) {
    return "the peer's address is not an IP address";
  }
  if (m_waiting >= m_settings.max_waiting_calls) {
    return "too many calls wait for a connection";
  }
  if (!m_connecting && m_io.provider->getTimer().now() < m_retry_at) {
    return "the last connection attempt failed and the reconnect delay has not passed";
  }
  return std::nullopt;
}

void PeerLink::start_connecting() {
  m_connecting = true;
  m_counters.count("peer_connection_attempts");
  auto address = m_io.provider->getNetwork().getSockaddr(m_address->get(), m_address->length);
  auto connecting = address->connect().attach(kj::mv(address));
  m_attempt = m_io.provider->getTimer()
                  .timeoutAfter(to_kj(m_settings.connect_timeout), kj::mv(connecting))
                  .then([this](kj::Own<kj::AsyncIoStream>&& stream) { on_connected(kj::mv(stream)); })
                  .catch_([this](kj::Exception&& exception) -> kj::Promise<void> {
                    m_connecting = false;
                    delay_reconnect();
                    return kj::mv(exception);
                  })
                  .fork();
}

void PeerLink::on_connected(kj::Own<kj::AsyncIoStream> stream) {
  set_peer_socket_options(*stream);
  m_connecting = false;
  const std::uint64_t generation = ++m_generation;
  m_connection = kj::refcounted<PeerConnection>(kj::mv(stream));
  // The connection is dropped in an event of its own, because its own code runs when it reports the end.
  m_disconnect_watch = m_connection->on_disconnect()
                           .then([] { return kj::evalLater([] {}); },
                                 [](kj::Exception&&) -> kj::Promise<void> { return kj::evalLater([] {}); })
                           .then([this, generation] { on_disconnected(generation); })
                           .eagerlyEvaluate(nullptr);
}

void PeerLink::on_disconnected(std::uint64_t generation) {
  if (generation != m_generation || m_connection.get() == nullptr) {
    return;
  }
  m_counters.count("peer_connections_lost");
  // A peer that accepts connections and closes them unused would otherwise be called in a tight loop.
  if (m_connection->answers() == 0) {
    delay_reconnect();
  }
  m_connection = nullptr;
}

void PeerLink::delay_reconnect() {
  const unsigned doublings = std::min(m_failures, kMaxDoublings);
  ++m_failures;
  const Duration delay = std::min(m_settings.max_reconnect_delay, m_settings.min_reconnect_delay * (1 << doublings));
  const double share = std::uniform_real_distribution<double>(0.5, 1.0)(m_random);
  const Duration jittered(static_cast<std::int64_t>(static_cast<double>(delay.count()) * share));
  m_retry_at = m_io.provider->getTimer().now() + to_kj(jittered);
}

kj::Promise<PeerLink::Outcome> PeerLink::send(CallState& state, kj::Own<PeerConnection> connection,
                                              const PeerRequest& request) {
  if (connection->queued_bytes() > m_settings.max_queued_bytes) {
    m_counters.count("peer_calls_send_queue_full");
    return failure(PeerErrorKind::kUnreachable, false, "too many bytes wait to be sent to the peer");
  }
  state.connection = kj::addRef(*connection);
  state.answers_when_sent = connection->answers();
  rpc::Peer::Client& peer = connection->peer();
  if (const auto* submit = std::get_if<SubmitRequest>(&request)) {
    const bool is_single = submit->envelope.step == TransactionStep::kNone;
    return dispatch(encoded(submit->envelope, is_single ? peer.submitRequest() : peer.transactRequest()),
                    kj::mv(connection));
  }
  if (const auto* probe = std::get_if<Probe>(&request)) {
    return dispatch(encoded(*probe, peer.probeRequest()), kj::mv(connection));
  }
  if (const auto* query = std::get_if<SuspicionQuery>(&request)) {
    return dispatch(encoded(*query, peer.suspectsRequest()), kj::mv(connection));
  }
  return dispatch(encoded(std::get<FetchConfiguration>(request), peer.fetchConfigurationRequest()), kj::mv(connection));
}

template <typename Params, typename Results>
kj::Promise<PeerLink::Outcome> PeerLink::dispatch(capnp::Request<Params, Results> call,
                                                  kj::Own<PeerConnection> connection) {
  if (call.totalSize().wordCount * sizeof(capnp::word) > kMaxPeerMessageBytes) {
    m_counters.count("peer_oversized_calls");
    return failure(PeerErrorKind::kBadMessage, false, "the call exceeds the size of a message");
  }
  PeerConnection& used = *connection;
  return call.send()
      .then([this, &used](capnp::Response<Results>&& response) { return on_answer(used, decode_message(response)); },
            [this, &used](kj::Exception&& exception) { return on_call_failed(used, exception); })
      .attach(kj::mv(connection));
}

PeerLink::Outcome PeerLink::on_answer(PeerConnection& connection, tl::expected<PeerResponse, PeerCodecError> decoded) {
  connection.count_answer();
  m_failures = 0;
  if (!decoded.has_value()) {
    m_counters.count("peer_bad_answers");
    return failure(PeerErrorKind::kBadMessage, true, std::move(decoded.error().message));
  }
  return std::move(*decoded);
}

PeerLink::Outcome PeerLink::on_call_failed(PeerConnection& connection, const kj::Exception& exception) {
  const kj::Exception::Type type = exception.getType();
  if (type == kj::Exception::Type::DISCONNECTED) {
    m_counters.count("peer_calls_lost");
    return failure(PeerErrorKind::kLost, true, text_of(exception));
  }
  connection.count_answer();
  if (type == kj::Exception::Type::OVERLOADED) {
    m_counters.count("peer_calls_overloaded");
    return failure(PeerErrorKind::kLost, true, text_of(exception));
  }
  m_counters.count("peer_calls_rejected");
  return failure(PeerErrorKind::kBadMessage, true, text_of(exception));
}

PeerLink::Outcome PeerLink::on_timeout(const CallState& state) {
  if (state.connection.get() == nullptr) {
    m_counters.count("peer_calls_unreachable");
    return failure(PeerErrorKind::kUnreachable, false, "no connection came about in time");
  }
  m_counters.count("peer_calls_timed_out");
  // Other calls that are still open on a silent connection keep it until they end.
  const bool is_silent = state.connection->answers() == state.answers_when_sent;
  if (is_silent && m_connection.get() == state.connection.get()) {
    m_counters.count("peer_silent_connections");
    m_connection = nullptr;
  }
  return failure(PeerErrorKind::kTimeout, true, "no answer came in time");
}

}  // namespace teaselrudder
