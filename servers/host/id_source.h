#pragma once

#include <cstdint>

namespace teaselrudder {

/// Generates ids that are never reused. They are unique within the process if each source has a prefix of its own.
///
/// The upper 24 bits of an id hold the prefix, which identifies the source; the lower 40 bits hold a counter.
class IdSource {
 public:
  explicit IdSource(std::uint32_t prefix = 0) : m_last(std::uint64_t{prefix} << kCounterBits) {}

  template <typename Id>
  Id next() {
    return Id(++m_last);
  }

  /// Returns the prefix of the source that generated `id`.
  template <typename Id>
  static std::uint32_t prefix_of(const Id& id) {
    return static_cast<std::uint32_t>(id.value() >> kCounterBits);
  }

 private:
  static constexpr unsigned kCounterBits = 40;

  std::uint64_t m_last;
};

}  // namespace teaselrudder
