#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "core/ids.h"

namespace teaselrudder {

/// Returns the rendezvous score of `host` for `key`; the same on every host and in every process.
std::uint64_t rendezvous_score(const HostId& host, std::string_view key);

/// Orders `hosts` by their score for `key`, the highest first. Equal scores are ordered by name.
std::vector<HostId> rank_hosts(std::vector<HostId> hosts, std::string_view key);

}  // namespace teaselrudder
