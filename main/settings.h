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

/// What an operator sets for one daemon, checked and with the files read.
struct Settings {
  HostId host_id;
  FailureDomainId failure_domain;
  /// Addresses to listen at; port 0 picks a free one. Other hosts reach this host under the peer address.
  Endpoint caller;
  Endpoint peer;
  Endpoint operators;
  /// The platform's store; empty if `configuration` is set.
  std::vector<Endpoint> store_endpoints;
  std::string store_prefix;
  /// The configuration from a file, instead of the store's.
  std::optional<Configuration> configuration;
  std::vector<Endpoint> static_hosts;
  std::string token_key;
  std::string database_name;
  std::string database_user;
  std::string database_password;
  /// Folder of the state charts; empty for the compiled-in ones.
  std::string charts_dir;
  Duration probe_interval{0};
  Duration probe_timeout{0};
  Duration suspicion{0};
  Duration replica_wait{0};
  std::size_t max_queue = 0;
  std::size_t max_body_bytes = 0;
  /// Longest duration of a graceful stop.
  Duration stop_timeout{0};
  std::string log_level;
};

/// Reads and checks the settings. `arguments` excludes the program's name. The error has one line for each breach.
tl::expected<Settings, std::string> read_settings(const std::vector<std::string>& arguments,
                                                  const Environment& environment);

/// Returns the description of all flags.
std::string settings_usage();

}  // namespace teaselrudder
