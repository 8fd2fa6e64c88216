#pragma once

#include <algorithm>
#include <cstdint>

#include "core/time.h"

namespace teaselrudder {

/// Returns the delay before the next attempt after `failures` consecutive failures: exponential backoff from
/// `min_delay` up to `max_delay`. `random` in [0, 1) selects a point in the upper half of the delay, so that hosts that
/// failed at the same time do not retry at the same time.
inline Duration backoff_delay(std::uint32_t failures, Duration min_delay, Duration max_delay, double random) {
  constexpr std::uint32_t kMaxDoublings = 16;
  const Duration ceiling = std::min(max_delay, min_delay * (std::int64_t{1} << std::min(failures, kMaxDoublings)));
  return ceiling / 2 + Duration(static_cast<Duration::rep>(random * static_cast<double>(ceiling.count()) / 2));
}

}  // namespace teaselrudder
