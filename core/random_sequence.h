#pragma once

#include <cstdint>

namespace teaselrudder {

/// Deterministic pseudo-random number generator (SplitMix64) with a seed from the owner.
///
/// Decision logic takes its jitter from it, so that a simulated run is reproducible from its seed.
class RandomSequence {
 public:
  explicit RandomSequence(std::uint64_t seed) : m_state(seed) {}

  /// Returns the next 64-bit number.
  std::uint64_t next() {
    m_state += 0x9E3779B97F4A7C15ULL;
    std::uint64_t mixed = m_state;
    mixed = (mixed ^ (mixed >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94D049BB133111EBULL;
    return mixed ^ (mixed >> 31U);
  }

  /// Returns the next number, uniformly distributed in [0, 1).
  double next_double() {
    constexpr double kScale = 1.0 / 9007199254740992.0;  // 2^-53
    return static_cast<double>(next() >> 11U) * kScale;
  }

 private:
  std::uint64_t m_state;
};

}  // namespace teaselrudder
