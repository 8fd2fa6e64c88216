#pragma once

#include <uv.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/metrics/counters.h"
#include "core/ports/host_list_port.h"
#include "core/ports/store_port.h"
#include "drivers/event_loop/clock.h"
#include "drivers/store/call_budget.h"
#include "drivers/store/http_client.h"
#include "drivers/store/store_operation.h"

namespace teaselrudder {

/// Where the platform's store is and how it may be used.
struct EtcdStoreSettings {
  /// Tried in turn; at least one. IPv4 only.
  std::vector<Endpoint> endpoints;
  /// The platform's list of hosts is the value of `<prefix>/hosts`.
  std::string prefix = "/teaselrudder";
  /// After this time without a connection the next endpoint is tried.
  Duration connect_timeout = std::chrono::milliseconds(300);
  /// Time for a call as a whole, and for the store to accept a watch.
  Duration call_timeout = std::chrono::seconds(2);
  /// A watch that is silent for this long is reported as failed, because a store that has stopped serving it looks
  /// the same. Short enough for a change to be in force everywhere within 9 s in spite of that.
  Duration watch_idle_timeout = std::chrono::seconds(4);
  /// This host's share of the store's rate, in calls per second, and the calls that may follow each other at once.
  double call_rate = 3.0;
  double call_burst = 20.0;
};

/// The platform's key-value store and its list of hosts, over the etcd v3 JSON form of HTTP, on a libuv loop.
///
/// Each call and each start of a watch takes one call of the budget. An attempt moves on to the next endpoint only if
/// no connection came about, so a request is never sent twice. Events are delivered from the loop only, never from
/// inside a call of a port. The destructor delivers none.
class EtcdStore final : public StorePort, public HostListPort {
 public:
  /// All references must outlive the store. The loop must run once more after the store is destroyed, so that its
  /// handles are released.
  EtcdStore(uv_loop_t* loop, const Clock& clock, EtcdStoreSettings settings, Counters& counters);
  ~EtcdStore() override;

  /// Names the receivers of the events. Must be called before any call.
  void set_events(StoreEvents& store_events, HostListEvents& host_list_events);

  void get(StoreCallId call, const std::string& key) override;
  void compare_and_swap(StoreCallId call, const std::string& key, StoreRevision expected,
                        const std::string& value) override;
  void watch(WatchId watch, const std::string& key, StoreRevision from) override;
  void cancel_watch(WatchId watch) override;
  void fetch_host_list() override;

 private:
  using OperationNumber = std::uint64_t;

  void begin(StoreOperationKind kind, std::uint64_t id, const std::string& key, const std::string& value,
             const char* path, std::string body);
  void start_attempt(StoreOperation& operation, std::size_t endpoint_index, TimePoint now);
  void wake();
  void on_timer();
  void arm_timer(TimePoint now);
  void process(OperationNumber number, TimePoint now);
  void process_sent(OperationNumber number, StoreOperation& operation, TimePoint now);
  void on_no_connection(OperationNumber number, StoreOperation& operation, const std::string& reason, TimePoint now);
  void on_ended(OperationNumber number, StoreOperation& operation, TimePoint now);
  void process_watch(OperationNumber number, StoreOperation& operation, TimePoint now);
  void deliver_changes(OperationNumber number, WatchId watch, const std::vector<StoreValue>& changes, TimePoint now);
  void complete(OperationNumber number, TimePoint now);
  void complete_host_list(OperationNumber number, TimePoint now);
  void fail(OperationNumber number, StoreErrorKind kind, const std::string& message, TimePoint now);

  const Clock& m_clock;
  EtcdStoreSettings m_settings;
  Counters& m_counters;
  StoreEvents* m_store_events = nullptr;
  HostListEvents* m_host_list_events = nullptr;
  CallBudget m_budget;
  HttpClient m_client;
  // Owned by the loop once it is closed.
  uv_timer_t* m_timer;
  std::size_t m_preferred_endpoint = 0;
  OperationNumber m_last_number = 0;
  std::map<OperationNumber, std::unique_ptr<StoreOperation>> m_operations;
};

}  // namespace teaselrudder
