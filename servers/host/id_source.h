#pragma once

#include <cstdint>

namespace teaselrudder {

/// Gives ids that are unique within the process and never reused.
///
/// The upper bits hold a prefix, so that an id tells which source gave it.
class IdSource {
 public:
  explicit IdSource(std::uint32_t prefix = 0) : m_last(std::uint64_t{prefix} << kCounterBits) {}

  template <typename Id>
  Id next() {
    return Id(++m_last);
  }

  /// Returns the prefix of the source that gave `id`.
  template <typename Id>
  static std::uint32_t prefix_of(const Id& id) {
    return static_cast<std::uint32_t>(id.value() >> kCounterBits);
  }

 private:
  static constexpr unsigned kCounterBits = 40;

  std::uint64_t m_last;
};

}  // namespace teaselrudder
