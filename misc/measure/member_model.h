#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "core/ids.h"
#include "core/log_point.h"
#include "core/member_status.h"
#include "core/ports/upstream_port.h"

// Header-only, because both the measurement programs and the tests use it.
namespace teaselrudder::model {

/// A record of a member's log. The record with id zero is written at the start of a term.
struct Record {
  std::uint64_t id = 0;
  Term term;
  LogPosition end;
};

/// Part of a primary's log that is sent to a replica: the records from index `first` on.
struct LogSegment {
  Term term;
  std::size_t first = 0;
  std::vector<Record> records;
  TermHistory history;
};

/// In-memory model of a member of a database group. Implements the rules in section 3 of docs/design.md.
class MemberModel {
 public:
  static constexpr std::uint64_t kRecordBytes = 8;

  MemberStatus status() const {
    MemberStatus status;
    status.raised_term = m_raised_term;
    status.candidate = m_candidate;
    status.log_term = log_term();
    status.received = end();
    status.replayed = replayed();
    status.is_primary = m_is_primary;
    status.history = m_history;
    return status;
  }

  GrantResult raise_term(Term term, const HostId& candidate) {
    if (term > m_raised_term) {
      m_raised_term = term;
      m_candidate = candidate;
      m_is_primary = false;
      m_source.reset();
    }
    return {term == m_raised_term && candidate == m_candidate, status()};
  }

  GrantResult promote(Term term, const HostId& candidate) {
    if (term != m_raised_term || candidate != m_candidate) {
      return {false, status()};
    }
    if (!m_is_primary) {
      m_is_primary = true;
      m_source.reset();
      m_history.append(term, end());
      append(0);
    }
    return {true, status()};
  }

  GrantResult follow(Term term, std::size_t primary) {
    if (term < m_raised_term || (m_is_primary && term == m_raised_term)) {
      return {false, status()};
    }
    if (term > m_raised_term) {
      m_raised_term = term;
      m_candidate = HostId();
      m_is_primary = false;
    }
    m_source = primary;
    return {true, status()};
  }

  /// Appends a record and returns its end, or returns nothing if this member is not the primary in `term`.
  std::optional<LogPoint> write(Term term, std::uint64_t id) {
    if (!m_is_primary || term != m_raised_term) {
      return std::nullopt;
    }
    append(id);
    return LogPoint{term, end()};
  }

  /// Returns the log records that `replica` lacks. Returns nothing if it lacks none, or if this member is not the
  /// primary in the term that the replica raised.
  std::optional<LogSegment> segment_for(const MemberModel& replica) const {
    if (!m_is_primary || replica.m_raised_term != m_raised_term) {
      return std::nullopt;
    }
    const std::size_t first = replica.log_term() == log_term() ? replica.m_log.size() : 0;
    if (first >= m_log.size()) {
      return std::nullopt;
    }
    return LogSegment{
        m_raised_term, first, {m_log.begin() + static_cast<std::ptrdiff_t>(first), m_log.end()}, m_history};
  }

  /// Appends a segment to the log, or replaces the log by it. Ignores it if its term is not the raised one, if it does
  /// not connect to the log, or if it does not extend it.
  void receive(const LogSegment& segment) {
    const bool same_log = log_term() == segment.term;
    const bool fits = same_log ? segment.first <= m_log.size() : segment.first == 0;
    const bool is_longer = !same_log || segment.first + segment.records.size() > m_log.size();
    if (m_is_primary || segment.term != m_raised_term || !fits || !is_longer) {
      return;
    }
    m_log.resize(segment.first);
    m_log.insert(m_log.end(), segment.records.begin(), segment.records.end());
    m_history = segment.history;
  }

  /// Returns the ids of the replayed records, which reads see.
  std::vector<std::uint64_t> visible() const {
    std::vector<std::uint64_t> ids;
    for (const Record& record : m_log) {
      if (record.end <= replayed()) {
        ids.push_back(record.id);
      }
    }
    return ids;
  }

  const std::vector<Record>& log() const { return m_log; }
  std::optional<std::size_t> source() const { return m_source; }
  bool is_primary() const { return m_is_primary; }
  Term raised_term() const { return m_raised_term; }

  /// Sets the number of received records that a replica has not replayed yet.
  void set_replay_lag(std::size_t records) { m_replay_lag = records; }

  /// Makes this member primary without any check, as a proxy without terms would.
  void promote_unchecked(Term term) {
    m_raised_term = term;
    m_is_primary = false;
    promote(term, m_candidate);
  }

 private:
  Term log_term() const { return m_log.empty() ? Term() : m_log.back().term; }
  LogPosition end() const { return m_log.empty() ? LogPosition() : m_log.back().end; }

  LogPosition replayed() const {
    if (m_is_primary) {
      return end();
    }
    return m_log.size() <= m_replay_lag ? LogPosition() : m_log[m_log.size() - 1 - m_replay_lag].end;
  }

  void append(std::uint64_t id) { m_log.push_back({id, m_raised_term, LogPosition(end().value() + kRecordBytes)}); }

  Term m_raised_term;
  HostId m_candidate;
  bool m_is_primary = false;
  std::vector<Record> m_log;
  TermHistory m_history;
  std::optional<std::size_t> m_source;
  std::size_t m_replay_lag = 0;
};

}  // namespace teaselrudder::model
