#include "drivers/rpc/peer_rpc.h"

#include <utility>

namespace teaselrudder {

namespace {

// Number of links from which idle ones are removed. Hosts are replaced and get other addresses, so links to addresses
// that are no longer in use would accumulate.
constexpr std::size_t kMaxLinks = 2048;

}  // namespace

PeerRpc::PeerRpc(kj::AsyncIoContext& io, const Clock& clock, const PeerRpcSettings& settings, Counters& counters)
    : m_io(io),
      m_clock(clock),
      m_settings(settings),
      m_counters(counters),
      m_random(settings.seed),
      m_server(io, clock, m_settings, counters),
      m_call_tasks(*this) {}

PeerRpc::~PeerRpc() noexcept = default;

void PeerRpc::set_events(PeerEvents& events) {
  m_events = &events;
  m_server.set_events(events);
}

tl::expected<std::uint16_t, std::string> PeerRpc::listen(const Endpoint& endpoint) { return m_server.listen(endpoint); }

void PeerRpc::call(PeerCallId call, const Endpoint& peer, PeerRequest request, Duration timeout) {
  m_call_tasks.add(
      find_or_create_link(peer).call(std::move(request), timeout).then([this, call](PeerLink::Outcome&& outcome) {
        m_events->on_peer_answered(call, std::move(outcome), m_clock.now());
      }));
}

void PeerRpc::answer(PeerCallId call, PeerResponse response) { m_server.answer(call, std::move(response)); }

PeerLink& PeerRpc::find_or_create_link(const Endpoint& peer) {
  const auto found = m_links.find(peer);
  if (found != m_links.end()) {
    return *found->second;
  }
  if (m_links.size() >= kMaxLinks) {
    std::erase_if(m_links, [](const auto& entry) { return entry.second->is_idle(); });
  }
  auto link = std::make_unique<PeerLink>(m_io, peer, m_settings, m_random, m_counters);
  return *m_links.emplace(peer, std::move(link)).first->second;
}

void PeerRpc::taskFailed(kj::Exception&& exception) {
  // A failed call resolves with an error outcome, so only an event handler that throws leads here.
  (void)exception;
  m_counters.count("peer_event_failures");
}

}  // namespace teaselrudder
