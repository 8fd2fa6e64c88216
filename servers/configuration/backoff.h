#pragma once

#include <algorithm>
#include <cstdint>

#include "core/time.h"

namespace teaselrudder {

/// Returns the pause after `failures` failures in a row: doubles from `min_delay` up to `max_delay`, and `random` in
/// [0, 1) spreads it over the upper half, so that hosts that failed together do not return together.
inline Duration backoff_delay(std::uint32_t failures, Duration min_delay, Duration max_delay, double random) {
  constexpr std::uint32_t kMaxDoublings = 16;
  const Duration ceiling = std::min(max_delay, min_delay * (std::int64_t{1} << std::min(failures, kMaxDoublings)));
  return ceiling / 2 + Duration(static_cast<Duration::rep>(random * static_cast<double>(ceiling.count()) / 2));
}

}  // namespace teaselrudder
