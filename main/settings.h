#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/config/configuration.h"
#include "core/ids.h"
#include "core/time.h"
#include "main/flag_parser.h"
#include "tl/expected.hpp"

namespace teaselrudder {

/// The validated settings of one daemon, with the content of the files that they name.
struct Settings {
  HostId host_id;
  FailureDomainId failure_domain;
  /// Addresses to listen on; with port 0 a free port is chosen. Other hosts connect to the peer address.
  Endpoint caller;
  Endpoint peer;
  Endpoint operators;
  /// Addresses of the platform's store; empty if `configuration` is set.
  std::vector<Endpoint> store_endpoints;
  std::string store_prefix;
  /// The configuration from a file, which is used instead of the one in the store.
  std::optional<Configuration> configuration;
  std::vector<Endpoint> static_hosts;
  std::string token_key;
  std::string database_name;
  std::string database_user;
  std::string database_password;
  /// Directory of the state charts; empty for the compiled-in ones.
  std::string charts_dir;
  Duration probe_interval{0};
  Duration probe_timeout{0};
  Duration suspicion{0};
  Duration replica_wait{0};
  std::size_t max_queue = 0;
  std::size_t max_body_bytes = 0;
  /// Maximum duration of a graceful stop.
  Duration stop_timeout{0};
  std::string log_level;
};

/// Reads and validates the settings. `arguments` excludes the program's name. The error message has one line for each
/// invalid setting.
tl::expected<Settings, std::string> read_settings(const std::vector<std::string>& arguments,
                                                  const Environment& environment);

/// Returns the description of all flags.
std::string settings_usage();

}  // namespace teaselrudder
