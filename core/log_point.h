#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "core/strong_type.h"

namespace teaselrudder {

/// Number of a term of a group. Zero means that no term has started.
using Term = StrongType<struct TermTag, std::uint64_t>;

/// Byte offset in a group's log.
using LogPosition = StrongType<struct LogPositionTag, std::uint64_t>;

/// A log position with its term. Ordered by term first, then by position, as promotions compare candidates.
struct LogPoint {
  Term term;
  LogPosition position;

  friend bool operator==(const LogPoint&, const LogPoint&) = default;
  friend auto operator<=>(const LogPoint&, const LogPoint&) = default;
};

/// Returns `point` as TERM.POSITION, the form of logs and of the members' protocol.
inline std::string to_text(const LogPoint& point) {
  return std::to_string(point.term.value()) + "." + std::to_string(point.position.value());
}

}  // namespace teaselrudder
