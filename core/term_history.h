#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/log_point.h"
#include "tl/expected.hpp"

namespace teaselrudder {

/// Reason why a text is not a term history.
enum class TermHistoryError { kBadNumber, kMissingSeparator, kNotAscending, kTooLong };

/// Where each term of a member's log began.
///
/// Terms ascend strictly and start positions never descend. A record at position `p` belongs to the last term
/// whose start is below `p`; positions name the end of a record.
class TermHistory {
 public:
  /// Bound on the number of entries, so that a report stays small: 2 promotions a day fill it in more than a year.
  static constexpr std::size_t kMaxEntries = 1024;

  TermHistory() = default;

  /// Reads `term:start,term:start,...`; an empty text is an empty history.
  static tl::expected<TermHistory, TermHistoryError> parse(std::string_view text);

  /// Writes the form that parse() reads.
  std::string to_string() const;

  /// Adds a term that begins after `start`. Returns false and changes nothing unless term and start ascend.
  bool append(Term term, LogPosition start);

  /// Returns the start of the first term above `term`, or nothing if there is none.
  std::optional<LogPosition> end_of(Term term) const;

  /// Tells whether a log with this history contains everything up to `point`, given that it reaches `reached`.
  bool contains(const LogPoint& point, const LogPoint& reached) const;

  /// Drops the terms that have no record up to `position`, as a member does when it truncates its log there.
  void truncate(LogPosition position);

  /// Returns the last position up to which a log with this history and its end at `own_end`, and another log with
  /// history `other` and its end at `other_end`, hold the same records.
  LogPosition common_end(const TermHistory& other, LogPosition own_end, LogPosition other_end) const;

  /// Returns the newest term, or term zero if the history is empty.
  Term last_term() const;

  /// Returns the (term, start) entries in ascending order.
  const std::vector<LogPoint>& entries() const { return m_entries; }

  friend bool operator==(const TermHistory&, const TermHistory&) = default;

 private:
  std::vector<LogPoint> m_entries;
};

}  // namespace teaselrudder
