#pragma once

#include <utility>

#include "core/ports/peer_port.h"
#include "drivers/event_loop/event_loop.h"

namespace teaselrudder {

/// Forwards events from other hosts to a receiver and requests a libuv iteration after each.
///
/// These events arrive in KJ continuations, and their receiver responds through adapters that use libuv. Without the
/// request, the libuv operations that it started would wait until another event wakes the loop.
class IterationRequestingPeerEvents : public PeerEvents {
 public:
  /// `loop` and `receiver` must outlive this object.
  IterationRequestingPeerEvents(EventLoop& loop, PeerEvents& receiver) : m_loop(loop), m_receiver(receiver) {}

  void on_peer_request(PeerCallId call, PeerRequest request, TimePoint now) override {
    m_receiver.on_peer_request(call, std::move(request), now);
    m_loop.request_uv_iteration();
  }

  void on_peer_request_cancelled(PeerCallId call, TimePoint now) override {
    m_receiver.on_peer_request_cancelled(call, now);
    m_loop.request_uv_iteration();
  }

  void on_peer_answered(PeerCallId call, tl::expected<PeerResponse, PeerError> outcome, TimePoint now) override {
    m_receiver.on_peer_answered(call, std::move(outcome), now);
    m_loop.request_uv_iteration();
  }

 private:
  EventLoop& m_loop;
  PeerEvents& m_receiver;
};

}  // namespace teaselrudder
