#pragma once

#include <uv.h>

#include <functional>
#include <vector>

#include "core/ports/host_list_port.h"
#include "core/ports/store_port.h"
#include "drivers/event_loop/clock.h"

namespace teaselrudder {

/// Stands for the platform's store where none is configured: every call fails as unavailable.
class AbsentStore : public StorePort, public HostListPort {
 public:
  /// The references must outlive the store.
  AbsentStore(uv_loop_t* loop, const Clock& clock, StoreEvents& store_events, HostListEvents& host_list_events);
  ~AbsentStore() override;

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
  // Owned by the loop once it is closed.
  uv_timer_t* m_timer;
  std::vector<std::function<void(TimePoint)>> m_deferred;
};

}  // namespace teaselrudder
