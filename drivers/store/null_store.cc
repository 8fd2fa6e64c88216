#include "drivers/store/null_store.h"

#include <utility>

namespace teaselrudder {

namespace {

StoreError unavailable() { return {StoreErrorKind::kUnavailable, false, "the settings contain no store endpoint"}; }

}  // namespace

NullStore::NullStore(uv_loop_t* loop, const Clock& clock, StoreEvents& store_events, HostListEvents& host_list_events)
    : m_clock(clock), m_store_events(store_events), m_host_list_events(host_list_events), m_timer(new uv_timer_t{}) {
  uv_timer_init(loop, m_timer);
  m_timer->data = this;
}

NullStore::~NullStore() {
  uv_close(reinterpret_cast<uv_handle_t*>(m_timer),
           [](uv_handle_t* handle) { delete reinterpret_cast<uv_timer_t*>(handle); });
}

void NullStore::get(StoreCallId call, const std::string& /*key*/) {
  defer([this, call](TimePoint now) { m_store_events.on_store_read(call, tl::unexpected(unavailable()), now); });
}

void NullStore::compare_and_swap(StoreCallId call, const std::string& /*key*/, StoreRevision /*expected*/,
                                 const std::string& /*value*/) {
  defer([this, call](TimePoint now) { m_store_events.on_store_swapped(call, tl::unexpected(unavailable()), now); });
}

void NullStore::watch(WatchId watch, const std::string& /*key*/, StoreRevision /*from*/) {
  defer([this, watch](TimePoint now) { m_store_events.on_watch_failed(watch, unavailable(), now); });
}

void NullStore::cancel_watch(WatchId /*watch*/) {}

void NullStore::fetch_host_list() {
  defer([this](TimePoint now) { m_host_list_events.on_host_list(tl::unexpected(unavailable()), now); });
}

void NullStore::defer(std::function<void(TimePoint)> event) {
  m_deferred.push_back(std::move(event));
  uv_timer_start(
      m_timer, [](uv_timer_t* timer) { static_cast<NullStore*>(timer->data)->deliver(); }, 0, 0);
}

void NullStore::deliver() {
  for (const auto& event : std::exchange(m_deferred, {})) {
    event(m_clock.now());
  }
}

}  // namespace teaselrudder
