#pragma once

#include <compare>
#include <cstdint>

#include "core/strong_type.h"

namespace teaselrudder {

/// Number of a group's term. Zero means that no term has begun.
using Term = StrongType<struct TermTag, std::uint64_t>;

/// Byte offset in a group's log.
using LogPosition = StrongType<struct LogPositionTag, std::uint64_t>;

/// A position in the log of one term. Ordered by term first, as a promotion compares members.
struct LogPoint {
  Term term;
  LogPosition position;

  friend bool operator==(const LogPoint&, const LogPoint&) = default;
  friend auto operator<=>(const LogPoint&, const LogPoint&) = default;
};

}  // namespace teaselrudder
