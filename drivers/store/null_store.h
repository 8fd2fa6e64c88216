#pragma once

#include <uv.h>

#include <functional>
#include <vector>

#include "core/ports/host_list_port.h"
#include "core/ports/store_port.h"
#include "drivers/event_loop/clock.h"

namespace teaselrudder {

/// Replaces the platform's store if none is configured. Every call and watch fails with StoreErrorKind::kUnavailable;
/// the events are delivered from the loop.
class NullStore : public StorePort, public HostListPort {
 public:
  /// All references must outlive the store. The loop must run once more after its destruction to release the timer.
  NullStore(uv_loop_t* loop, const Clock& clock, StoreEvents& store_events, HostListEvents& host_list_events);
  ~NullStore() override;

  void get(StoreCallId call, const std::string& key) override;
  void compare_and_swap(StoreCallId call, const std::string& key, StoreRevision expected,
                        const std::string& value) override;
  void watch(WatchId watch, const std::string& key, StoreRevision from) override;
  void cancel_watch(WatchId watch) override;
  void fetch_host_list() override;

 private:
  void defer(std::function<void(TimePoint)> event);
  void deliver();

  const Clock& m_clock;
  StoreEvents& m_store_events;
  HostListEvents& m_host_list_events;
  // The loop deletes the handle after the destructor has closed it.
  uv_timer_t* m_timer;
  std::vector<std::function<void(TimePoint)>> m_deferred;
};

}  // namespace teaselrudder
