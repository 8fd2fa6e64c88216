#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "core/ids.h"

namespace teaselrudder {

/// Returns the score of `host` for `key` in rendezvous hashing (highest random weight). It is the same on every host
/// and in every process.
std::uint64_t rendezvous_score(const HostId& host, std::string_view key);

/// Returns `hosts` sorted by their score for `key`, highest first. Hosts with equal scores are sorted by name.
std::vector<HostId> rank_hosts(std::vector<HostId> hosts, std::string_view key);

}  // namespace teaselrudder
