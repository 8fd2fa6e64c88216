#include "core/term_history.h"

#include <algorithm>
#include <cstdint>

#include "core/parse_number.h"

namespace teaselrudder {

tl::expected<TermHistory, TermHistoryError> TermHistory::parse(std::string_view text) {
  TermHistory history;
  while (!text.empty()) {
    const std::size_t comma = text.find(',');
    const std::string_view entry = text.substr(0, comma);
    text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);

    const std::size_t colon = entry.find(':');
    if (colon == std::string_view::npos) {
      return tl::unexpected(TermHistoryError::kMissingSeparator);
    }
    const std::optional<std::uint64_t> term = parse_unsigned(entry.substr(0, colon));
    const std::optional<std::uint64_t> start = parse_unsigned(entry.substr(colon + 1));
    if (!term.has_value() || !start.has_value()) {
      return tl::unexpected(TermHistoryError::kBadNumber);
    }
    if (history.m_entries.size() == kMaxEntries) {
      return tl::unexpected(TermHistoryError::kTooLong);
    }
    if (!history.append(Term(*term), LogPosition(*start))) {
      return tl::unexpected(TermHistoryError::kNotAscending);
    }
  }
  return history;
}

std::string TermHistory::to_string() const {
  std::string text;
  for (const LogPoint& entry : m_entries) {
    if (!text.empty()) {
      text += ',';
    }
    text += std::to_string(entry.term.value()) + ':' + std::to_string(entry.position.value());
  }
  return text;
}

bool TermHistory::append(Term term, LogPosition start) {
  if (!m_entries.empty() && (term <= m_entries.back().term || start < m_entries.back().position)) {
    return false;
  }
  m_entries.push_back({term, start});
  return true;
}

std::optional<LogPosition> TermHistory::end_of(Term term) const {
  const auto next =
      std::find_if(m_entries.begin(), m_entries.end(), [term](const LogPoint& entry) { return entry.term > term; });
  if (next == m_entries.end()) {
    return std::nullopt;
  }
  return next->position;
}

bool TermHistory::contains(const LogPoint& point, const LogPoint& reached) const {
  if (point == LogPoint{}) {
    return true;
  }
  if (reached.position < point.position || reached.term < point.term) {
    return false;
  }
  // A term that is missing from this history may have written different records at the same positions.
  const bool term_known = std::any_of(m_entries.begin(), m_entries.end(),
                                      [&point](const LogPoint& entry) { return entry.term == point.term; });
  if (!term_known) {
    return false;
  }
  const std::optional<LogPosition> end = end_of(point.term);
  return !end.has_value() || point.position <= *end;
}

void TermHistory::truncate(LogPosition position) {
  while (!m_entries.empty() && m_entries.back().position >= position) {
    m_entries.pop_back();
  }
}

LogPosition TermHistory::common_prefix_end(const TermHistory& other, LogPosition own_end, LogPosition other_end) const {
  std::size_t shared = 0;
  while (shared < m_entries.size() && shared < other.m_entries.size() && m_entries[shared] == other.m_entries[shared]) {
    ++shared;
  }
  const LogPosition own_limit = shared < m_entries.size() ? m_entries[shared].position : own_end;
  const LogPosition other_limit = shared < other.m_entries.size() ? other.m_entries[shared].position : other_end;
  return std::min(own_limit, other_limit);
}

Term TermHistory::last_term() const { return m_entries.empty() ? Term() : m_entries.back().term; }

}  // namespace teaselrudder
