#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <utility>

namespace teaselrudder {

/// Wraps a value of type `Rep` in a type that is distinct for each `Tag`, so that ids of different kinds cannot be
/// mixed up. Comparison and hashing are those of `Rep`.
template <typename Tag, typename Rep>
class StrongType {
 public:
  using Representation = Rep;

  constexpr StrongType() = default;
  constexpr explicit StrongType(Rep value) : m_value(std::move(value)) {}

  constexpr const Rep& value() const { return m_value; }

  friend constexpr bool operator==(const StrongType&, const StrongType&) = default;
  friend constexpr auto operator<=>(const StrongType&, const StrongType&) = default;

  /// Prints the wrapped value, for log lines and test failures.
  friend std::ostream& operator<<(std::ostream& out, const StrongType& strong) { return out << strong.m_value; }

 private:
  Rep m_value{};
};

}  // namespace teaselrudder

template <typename Tag, typename Rep>
struct std::hash<teaselrudder::StrongType<Tag, Rep>> {
  std::size_t operator()(const teaselrudder::StrongType<Tag, Rep>& strong) const noexcept {
    return std::hash<Rep>{}(strong.value());
  }
};
