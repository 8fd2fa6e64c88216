#pragma once

#include <vector>

#include "core/ports/peer_port.h"
#include "core/ports/store_port.h"
#include "tl/expected.hpp"

namespace teaselrudder {

/// The platform's list of running and leaving hosts, which can be out of date. Results arrive through HostListEvents.
class HostListPort {
 public:
  HostListPort() = default;
  HostListPort(const HostListPort&) = delete;
  HostListPort& operator=(const HostListPort&) = delete;
  virtual ~HostListPort() = default;

  /// Requests the list. One on_host_list() event follows.
  virtual void fetch_host_list() = 0;
};

/// Receives the platform's list of hosts.
class HostListEvents {
 public:
  HostListEvents() = default;
  HostListEvents(const HostListEvents&) = delete;
  HostListEvents& operator=(const HostListEvents&) = delete;
  virtual ~HostListEvents() = default;

  virtual void on_host_list(tl::expected<std::vector<HostRecord>, StoreError> outcome, TimePoint now) = 0;
};

}  // namespace teaselrudder
