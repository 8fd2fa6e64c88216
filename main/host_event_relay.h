#pragma once

#include <functional>
#include <utility>

#include "core/ports/caller_port.h"
#include "core/ports/host_list_port.h"
#include "core/ports/operator_port.h"
#include "core/ports/peer_port.h"
#include "core/ports/store_port.h"
#include "core/ports/upstream_port.h"
#include "servers/host/entry_host.h"

namespace teaselrudder {

/// Forwards events of the callers, upstreams, peers, the store and operators to the entry host. Calls `after_event`
/// after each of them, which schedules the host's next wakeup.
///
/// The senders need a receiver before the host exists. Events that arrive before set_host() are dropped.
class HostEventRelay : public CallerEvents,
                       public UpstreamEvents,
                       public PeerEvents,
                       public StoreEvents,
                       public HostListEvents,
                       public OperatorEvents {
 public:
  explicit HostEventRelay(std::function<void()> after_event) : m_after_event(std::move(after_event)) {}

  /// Sets the receiver, which must outlive all events. With null, events are dropped.
  void set_host(EntryHost* host) { m_host = host; }

  /// Sets a function that receives answers from peers before the host does. It returns true if it made the call; then
  /// the host does not get the answer.
  void set_answer_filter(std::function<bool(PeerCallId, const tl::expected<PeerResponse, PeerError>&)> filter) {
    m_answer_filter = std::move(filter);
  }

  void on_caller_request(CallerRequestId id, Request request, TimePoint now) override {
    forward([&] { m_host->on_caller_request(id, std::move(request), now); });
  }
  void on_caller_disconnected(CallerRequestId id, TimePoint now) override {
    forward([&] { m_host->on_caller_disconnected(id, now); });
  }
  void on_upstream_opened(ConnectionId connection, tl::expected<void, UpstreamError> outcome, TimePoint now) override {
    forward([&] { m_host->on_upstream_opened(connection, std::move(outcome), now); });
  }
  void on_upstream_completed(ConnectionId connection, OperationId operation,
                             tl::expected<UpstreamResult, UpstreamError> outcome, TimePoint now) override {
    forward([&] { m_host->on_upstream_completed(connection, operation, std::move(outcome), now); });
  }
  void on_upstream_closed(ConnectionId connection, TimePoint now) override {
    forward([&] { m_host->on_upstream_closed(connection, now); });
  }
  void on_peer_request(PeerCallId call, PeerRequest request, TimePoint now) override {
    forward([&] { m_host->on_peer_request(call, std::move(request), now); });
  }
  void on_peer_request_cancelled(PeerCallId call, TimePoint now) override {
    forward([&] { m_host->on_peer_request_cancelled(call, now); });
  }
  void on_peer_answered(PeerCallId call, tl::expected<PeerResponse, PeerError> outcome, TimePoint now) override {
    if (m_answer_filter && m_answer_filter(call, outcome)) {
      return;
    }
    forward([&] { m_host->on_peer_answered(call, std::move(outcome), now); });
  }
  void on_host_list(tl::expected<std::vector<HostRecord>, StoreError> outcome, TimePoint now) override {
    forward([&] { m_host->on_host_list(std::move(outcome), now); });
  }
  void on_store_read(StoreCallId call, tl::expected<StoreValue, StoreError> outcome, TimePoint now) override {
    forward([&] { m_host->on_store_read(call, std::move(outcome), now); });
  }
  void on_store_swapped(StoreCallId call, tl::expected<CompareAndSwapResult, StoreError> outcome,
                        TimePoint now) override {
    forward([&] { m_host->on_store_swapped(call, std::move(outcome), now); });
  }
  void on_store_changed(WatchId watch, const StoreValue& value, TimePoint now) override {
    forward([&] { m_host->on_store_changed(watch, value, now); });
  }
  void on_watch_failed(WatchId watch, const StoreError& error, TimePoint now) override {
    forward([&] { m_host->on_watch_failed(watch, error, now); });
  }
  void on_operator_command(OperatorRequestId request, std::string command, bool check_only, TimePoint now) override {
    forward([&] { m_host->on_operator_command(request, std::move(command), check_only, now); });
  }

 private:
  template <typename Event>
  void forward(const Event& event) {
    if (m_host == nullptr) {
      return;
    }
    event();
    m_after_event();
  }

  EntryHost* m_host = nullptr;
  std::function<void()> m_after_event;
  std::function<bool(PeerCallId, const tl::expected<PeerResponse, PeerError>&)> m_answer_filter;
};

}  // namespace teaselrudder
