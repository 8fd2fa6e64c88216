#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <utility>

namespace teaselrudder {

/// A value of representation `Rep` that cannot be mixed up with values of another tag.
///
/// The value is read through value(); comparison and hashing follow the representation.
template <typename Tag, typename Rep>
class StrongType {
 public:
  using Representation = Rep;

  constexpr StrongType() = default;
  constexpr explicit StrongType(Rep value) : m_value(std::move(value)) {}

  /// Returns the wrapped value.
  constexpr const Rep& value() const { return m_value; }

  friend constexpr bool operator==(const StrongType&, const StrongType&) = default;
  friend constexpr auto operator<=>(const StrongType&, const StrongType&) = default;

  /// Writes the wrapped value, so that test failures and log lines show it.
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
