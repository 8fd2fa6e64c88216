#pragma once

#include <algorithm>
#include <cstdint>

#include "core/time.h"

namespace teaselrudder {

/// Returns the pause after `failures` failures in a row: doubles from `lowest` up to `highest`, and `random` in [0, 1)
/// spreads it over the upper half, so that hosts that failed together do not return together.
inline Duration backoff_delay(std::uint32_t failures, Duration lowest, Duration highest, double random) {
  constexpr std::uint32_t kMaxDoublings = 16;
  const Duration full = std::min(highest, lowest * (std::int64_t{1} << std::min(failures, kMaxDoublings)));
  return full / 2 + Duration(static_cast<Duration::rep>(random * static_cast<double>(full.count()) / 2));
}

}  // namespace teaselrudder
