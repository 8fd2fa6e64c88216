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

/// What the daemon offers to the host that it runs. Everything outlives the host.
struct DaemonServices {
  const Settings& settings;
  EventLoop& loop;
  const Clock& clock;
  Counters& counters;
  CallerPort& caller_port;
  OperatorPort& operator_port;
  /// Sets what the health check for load balancers answers.
  std::function<void(bool)> set_healthy;
};

/// The decisions of an entry host with their adapters to upstreams, the store and other hosts.
class HostRuntime {
 public:
  HostRuntime() = default;
  HostRuntime(const HostRuntime&) = delete;
  HostRuntime& operator=(const HostRuntime&) = delete;
  virtual ~HostRuntime() = default;

  virtual CallerEvents& caller_events() = 0;
  virtual OperatorEvents& operator_events() = 0;

  /// Returns the port at which other hosts reach this one.
  virtual std::uint16_t peer_port() const = 0;

  /// Returns metrics beyond the counters, in the Prometheus text form.
  virtual std::string metrics() const = 0;

  /// Begins the graceful stop: admits nothing new and finishes what is open. Calls `stopped` once, when nothing of this
  /// host's is open at an upstream or another host. Callers can still connect until then.
  virtual void begin_stop(TimePoint now, std::function<void()> stopped) = 0;
};

/// Creates a host. The error is one line.
using HostFactory = std::function<tl::expected<std::unique_ptr<HostRuntime>, std::string>(const DaemonServices&)>;

/// Creates the host of the daemon.
tl::expected<std::unique_ptr<HostRuntime>, std::string> make_host(const DaemonServices& services);

}  // namespace teaselrudder
