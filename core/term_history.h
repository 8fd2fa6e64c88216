#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/log_point.h"
#include "tl/expected.hpp"

namespace teaselrudder {

/// Why a term history could not be parsed.
enum class TermHistoryError { kBadNumber, kMissingSeparator, kNotAscending, kTooLong };

/// Start position of each term in a member's log.
///
/// Terms are strictly ascending and start positions never decrease. The position of a record is the position of its
/// end; a record at position `p` belongs to the last term whose start is below `p`.
class TermHistory {
 public:
  /// Limit on the number of entries that parse() accepts, which keeps status reports small. With 2 promotions per day
  /// it is reached after more than a year.
  static constexpr std::size_t kMaxEntries = 1024;

  TermHistory() = default;

  /// Parses `term:start,term:start,...`; an empty text is an empty history.
  static tl::expected<TermHistory, TermHistoryError> parse(std::string_view text);

  /// Returns the history in the format of parse().
  std::string to_string() const;

  /// Appends a term whose first record begins at `start`. Returns false and changes nothing if `term` is not above the
  /// last term or `start` is below the last start.
  bool append(Term term, LogPosition start);

  /// Returns the start of the first term above `term`, which is where `term` ended; nullopt if there is none.
  std::optional<LogPosition> end_of(Term term) const;

  /// Returns whether a log with this history that ends at `reached` contains all records up to `point`.
  bool contains(const LogPoint& point, const LogPoint& reached) const;

  /// Removes the terms without a record up to `position`. Used when the log is truncated at `position`.
  void truncate(LogPosition position);

  /// Returns the last position up to which two logs contain the same records: a log with this history that ends at
  /// `own_end`, and a log with the history `other` that ends at `other_end`.
  LogPosition common_prefix_end(const TermHistory& other, LogPosition own_end, LogPosition other_end) const;

  /// Returns the newest term, or term zero if the history is empty.
  Term last_term() const;

  /// Returns the (term, start) entries in ascending order.
  const std::vector<LogPoint>& entries() const { return m_entries; }

  friend bool operator==(const TermHistory&, const TermHistory&) = default;

 private:
  std::vector<LogPoint> m_entries;
};

}  // namespace teaselrudder
