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

/// Settings of the connection to the platform's store.
struct EtcdStoreSettings {
  /// Endpoints of the store, at least one. They must have IPv4 addresses. If one cannot be reached, the next one is
  /// tried.
  std::vector<Endpoint> endpoints;
  /// Prefix of the keys. The platform's host list is the value of the key `<prefix>/hosts`.
  std::string prefix = "/teaselrudder";
  /// Timeout of the connection attempt to one endpoint.
  Duration connect_timeout = std::chrono::milliseconds(300);
  /// Timeout of a whole call, and of the acceptance of a watch by the store.
  Duration call_timeout = std::chrono::seconds(2);
  /// Time without any message after which a watch is reported as failed, because a store that has stopped serving the
  /// watch cannot be told from one without changes. Short enough that a change reaches all hosts within 9 s even then.
  Duration watch_idle_timeout = std::chrono::seconds(4);
  /// This host's share of the store's capacity in calls per second, and the maximum number of calls without any delay.
  double call_rate = 3.0;
  double call_burst = 20.0;
};

/// Client for the platform's key-value store and its host list, which uses the JSON gateway of etcd v3 over HTTP, on a
/// libuv loop.
///
/// Each call and each start of a watch takes one call from the budget. The next endpoint is tried only if no connection
/// was established, so a request is never sent twice. Events are delivered from the loop only, never from inside a
/// method of StorePort or HostListPort. The destructor delivers no events.
class EtcdStore final : public StorePort, public HostListPort {
 public:
  /// All references must outlive the store. The loop must run once more after its destruction to release the handles.
  EtcdStore(uv_loop_t* loop, const Clock& clock, EtcdStoreSettings settings, Counters& counters);
  ~EtcdStore() override;

  /// Sets the receivers of the events. Must be called before any call of StorePort or HostListPort.
  void set_events(StoreEvents& store_events, HostListEvents& host_list_events);

  void get(StoreCallId call, const std::string& key) override;
  void compare_and_swap(StoreCallId call, const std::string& key, StoreRevision expected,
                        const std::string& value) override;
  void watch(WatchId watch, const std::string& key, StoreRevision from) override;
  void cancel_watch(WatchId watch) override;
  void fetch_host_list() override;

 private:
  using OperationNumber = std::uint64_t;

  void start_operation(StoreOperationKind kind, std::uint64_t id, const std::string& key, const std::string& value,
                       const char* path, std::string body);
  void start_attempt(StoreOperation& operation, std::size_t endpoint_index, TimePoint now);
  void schedule_processing();
  void on_timer();
  void arm_timer(TimePoint now);
  void process(OperationNumber number, TimePoint now);
  void process_sent(OperationNumber number, StoreOperation& operation, TimePoint now);
  void on_no_connection(OperationNumber number, StoreOperation& operation, const std::string& reason, TimePoint now);
  void on_completed(OperationNumber number, StoreOperation& operation, TimePoint now);
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
  // The loop deletes the handle after the destructor has closed it.
  uv_timer_t* m_timer;
  std::size_t m_preferred_endpoint = 0;
  OperationNumber m_last_number = 0;
  std::map<OperationNumber, std::unique_ptr<StoreOperation>> m_operations;
};

}  // namespace teaselrudder
