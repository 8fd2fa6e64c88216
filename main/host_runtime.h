#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "core/metrics/counters.h"
#include "core/ports/caller_port.h"
#include "core/ports/operator_port.h"
#include "drivers/event_loop/clock.h"
#include "drivers/event_loop/event_loop.h"
#include "main/settings.h"
#include "tl/expected.hpp"

namespace teaselrudder {

/// The parts of the daemon that the host uses. All of them outlive the host.
struct DaemonServices {
  const Settings& settings;
  EventLoop& loop;
  const Clock& clock;
  Counters& counters;
  CallerPort& caller_port;
  OperatorPort& operator_port;
  /// Sets the result of the health check for load balancers.
  std::function<void(bool)> set_healthy;
};

/// Interface of an entry host as the daemon runs it: the host itself and its connections to upstreams, the store and
/// other hosts.
class HostRuntime {
 public:
  HostRuntime() = default;
  HostRuntime(const HostRuntime&) = delete;
  HostRuntime& operator=(const HostRuntime&) = delete;
  virtual ~HostRuntime() = default;

  virtual CallerEvents& caller_events() = 0;
  virtual OperatorEvents& operator_events() = 0;

  /// Returns the port on which this host accepts connections of other hosts.
  virtual std::uint16_t peer_port() const = 0;

  /// Returns the metrics that are not in Counters, in the Prometheus text format.
  virtual std::string metrics() const = 0;

  /// Starts the graceful stop: refuses new work and completes open work. Calls `stopped` once, when this host has no
  /// open work at an upstream or another host. Callers can still connect until then.
  virtual void begin_stop(TimePoint now, std::function<void()> stopped) = 0;
};

/// Creates a host. The error message is a single line.
using HostFactory = std::function<tl::expected<std::unique_ptr<HostRuntime>, std::string>(const DaemonServices&)>;

/// Creates and starts the entry host that the daemon runs. The error message is a single line.
tl::expected<std::unique_ptr<HostRuntime>, std::string> make_host(const DaemonServices& services);

}  // namespace teaselrudder
