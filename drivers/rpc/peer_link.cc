#include "drivers/rpc/peer_link.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "drivers/rpc/peer_codec.h"

namespace teaselrudder {

namespace {

// Limits the exponential backoff: enough doublings to reach any reasonable maximum delay, too few to overflow.
constexpr unsigned kMaxDelayDoublings = 20;

kj::Duration to_kj(Duration duration) { return std::max<std::int64_t>(duration.count(), 0) * kj::MICROSECONDS; }

kj::Exception make_unreachable_exception(const std::string& reason) {
  return {kj::Exception::Type::DISCONNECTED, __FILE__, __LINE__, kj::heapString(reason.c_str(), reason.size())};
}

PeerLink::Outcome make_error(PeerErrorKind kind, bool may_have_been_delivered, std::string message) {
  return tl::unexpected(PeerError{kind, may_have_been_delivered, std::move(message)});
}

std::string description_of(const kj::Exception& exception) { return exception.getDescription().cStr(); }

template <typename Message, typename Call>
Call encode_call(const Message& message, Call call) {
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
      m_next_attempt_at(io.provider->getTimer().now()) {}

kj::Promise<PeerLink::Outcome> PeerLink::call(PeerRequest request, Duration timeout) {
  ++m_open_calls;
  auto state = std::make_shared<CallState>();
  auto answered = get_connection().then(
      [this, state, request = std::move(request)](kj::Own<PeerConnection>&& connection) {
        return send(*state, kj::mv(connection), request);
      },
      [this](kj::Exception&& exception) -> kj::Promise<Outcome> {
        m_counters.count("peer_calls_unreachable");
        return make_error(PeerErrorKind::kUnreachable, false, description_of(exception));
      });
  auto expired =
      m_io.provider->getTimer().afterDelay(to_kj(timeout)).then([this, state] { return on_timeout(*state); });
  return answered.exclusiveJoin(kj::mv(expired)).attach(kj::defer([this] { --m_open_calls; }));
}

kj::Promise<kj::Own<PeerConnection>> PeerLink::get_connection() {
  if (m_connection.get() != nullptr) {
    return kj::addRef(*m_connection);
  }
  if (const auto reason = find_reason_not_to_connect(); reason.has_value()) {
    return make_unreachable_exception(*reason);
  }
  if (!m_connecting) {
    start_connecting();
  }
  ++m_waiting_calls;
  return m_connect_attempt.addBranch()
      .then([this]() -> kj::Promise<kj::Own<PeerConnection>> {
        if (m_connection.get() == nullptr) {
          return make_unreachable_exception("the connection was closed immediately after it was established");
        }
        return kj::addRef(*m_connection);
      })
      .attach(kj::defer([this] { --m_waiting_calls; }));
}

std::optional<std::string> PeerLink::find_reason_not_to_connect() {
  if (!m_address.has_value()) {
    return "the address of the peer is not an IP address";
  }
  if (m_waiting_calls >= m_settings.max_waiting_calls) {
    return "too many calls wait for the connection to the peer";
  }
  if (!m_connecting && m_io.provider->getTimer().now() < m_next_attempt_at) {
    return "the last connection attempt failed and its reconnect delay has not passed yet";
  }
  return std::nullopt;
}

void PeerLink::start_connecting() {
  m_connecting = true;
  m_counters.count("peer_connection_attempts");
  auto address = m_io.provider->getNetwork().getSockaddr(m_address->get(), m_address->length);
  auto connecting = address->connect().attach(kj::mv(address));
  m_connect_attempt = m_io.provider->getTimer()
                          .timeoutAfter(to_kj(m_settings.connect_timeout), kj::mv(connecting))
                          .then([this](kj::Own<kj::AsyncIoStream>&& stream) { on_connected(kj::mv(stream)); })
                          .catch_([this](kj::Exception&& exception) -> kj::Promise<void> {
                            m_connecting = false;
                            start_reconnect_delay();
                            return kj::mv(exception);
                          })
                          .fork();
}

void PeerLink::on_connected(kj::Own<kj::AsyncIoStream> stream) {
  set_peer_socket_options(*stream);
  m_connecting = false;
  const std::uint64_t generation = ++m_connection_generation;
  m_connection = kj::refcounted<PeerConnection>(kj::mv(stream));
  // The connection reports the disconnect from its own code, so evalLater() defers its destruction to a later event.
  m_disconnect_watch = m_connection->on_disconnect()
                           .then([] { return kj::evalLater([] {}); },
                                 [](kj::Exception&&) -> kj::Promise<void> { return kj::evalLater([] {}); })
                           .then([this, generation] { on_disconnected(generation); })
                           .eagerlyEvaluate(nullptr);
}

void PeerLink::on_disconnected(std::uint64_t generation) {
  if (generation != m_connection_generation || m_connection.get() == nullptr) {
    return;
  }
  m_counters.count("peer_connections_lost");
  // Without this delay, a peer that closes each connection before it responds to a call would cause a busy loop.
  if (m_connection->answer_count() == 0) {
    start_reconnect_delay();
  }
  m_connection = nullptr;
}

void PeerLink::start_reconnect_delay() {
  const unsigned doublings = std::min(m_consecutive_failures, kMaxDelayDoublings);
  ++m_consecutive_failures;
  const Duration delay = std::min(m_settings.max_reconnect_delay, m_settings.min_reconnect_delay * (1 << doublings));
  const double share = std::uniform_real_distribution<double>(0.5, 1.0)(m_random);
  const Duration jittered(static_cast<std::int64_t>(static_cast<double>(delay.count()) * share));
  m_next_attempt_at = m_io.provider->getTimer().now() + to_kj(jittered);
}

kj::Promise<PeerLink::Outcome> PeerLink::send(CallState& state, kj::Own<PeerConnection> connection,
                                              const PeerRequest& request) {
  if (connection->queued_bytes() > m_settings.max_queued_bytes) {
    m_counters.count("peer_calls_send_queue_full");
    return make_error(PeerErrorKind::kUnreachable, false, "the send queue to the peer is full");
  }
  state.connection = kj::addRef(*connection);
  state.answer_count_when_sent = connection->answer_count();
  rpc::Peer::Client& peer = connection->peer();
  if (const auto* submit = std::get_if<SubmitRequest>(&request)) {
    const bool is_single = submit->envelope.step == TransactionStep::kNone;
    return dispatch(encode_call(submit->envelope, is_single ? peer.submitRequest() : peer.transactRequest()),
                    kj::mv(connection));
  }
  if (const auto* probe = std::get_if<Probe>(&request)) {
    return dispatch(encode_call(*probe, peer.probeRequest()), kj::mv(connection));
  }
  if (const auto* query = std::get_if<SuspicionQuery>(&request)) {
    return dispatch(encode_call(*query, peer.suspectsRequest()), kj::mv(connection));
  }
  return dispatch(encode_call(std::get<FetchConfiguration>(request), peer.fetchConfigurationRequest()),
                  kj::mv(connection));
}

template <typename Params, typename Results>
kj::Promise<PeerLink::Outcome> PeerLink::dispatch(capnp::Request<Params, Results> call,
                                                  kj::Own<PeerConnection> connection) {
  if (call.totalSize().wordCount * sizeof(capnp::word) > kMaxPeerMessageBytes) {
    m_counters.count("peer_oversized_calls");
    return make_error(PeerErrorKind::kBadMessage, false, "the call exceeds the maximum message size");
  }
  PeerConnection& used = *connection;
  return call.send()
      .then([this, &used](capnp::Response<Results>&& response) { return on_answer(used, decode_message(response)); },
            [this, &used](kj::Exception&& exception) { return on_call_failed(used, exception); })
      .attach(kj::mv(connection));
}

PeerLink::Outcome PeerLink::on_answer(PeerConnection& connection, tl::expected<PeerResponse, PeerCodecError> decoded) {
  connection.count_answer();
  m_consecutive_failures = 0;
  if (!decoded.has_value()) {
    m_counters.count("peer_bad_answers");
    return make_error(PeerErrorKind::kBadMessage, true, std::move(decoded.error().message));
  }
  return std::move(*decoded);
}

PeerLink::Outcome PeerLink::on_call_failed(PeerConnection& connection, const kj::Exception& exception) {
  const kj::Exception::Type type = exception.getType();
  if (type == kj::Exception::Type::DISCONNECTED) {
    m_counters.count("peer_calls_lost");
    return make_error(PeerErrorKind::kLost, true, description_of(exception));
  }
  connection.count_answer();
  if (type == kj::Exception::Type::OVERLOADED) {
    m_counters.count("peer_calls_overloaded");
    return make_error(PeerErrorKind::kLost, true, description_of(exception));
  }
  m_counters.count("peer_calls_rejected");
  return make_error(PeerErrorKind::kBadMessage, true, description_of(exception));
}

PeerLink::Outcome PeerLink::on_timeout(const CallState& state) {
  if (state.connection.get() == nullptr) {
    m_counters.count("peer_calls_unreachable");
    return make_error(PeerErrorKind::kUnreachable, false,
                      "the connection was not established before the call timed out");
  }
  m_counters.count("peer_calls_timed_out");
  // No response arrived on this connection since the call was sent: later calls use a new connection. Open calls hold
  // references to the old one, which is closed when the last of them ends.
  const bool is_silent = state.connection->answer_count() == state.answer_count_when_sent;
  if (is_silent && m_connection.get() == state.connection.get()) {
    m_counters.count("peer_silent_connections");
    m_connection = nullptr;
  }
  return make_error(PeerErrorKind::kTimeout, true, "the peer did not respond before the call timed out");
}

}  // namespace teaselrudder
