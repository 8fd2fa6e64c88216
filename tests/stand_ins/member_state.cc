#include "tests/stand_ins/member_state.h"

#include <algorithm>

#include "tests/stand_ins/wire_format.h"

namespace teaselrudder::testing {

namespace {

/// Bytes of a log record besides its payload. Not zero, so that also an empty record advances the log position.
constexpr std::uint64_t kRecordHeaderBytes = 16;

std::string encode(const TransactionWrites& writes) {
  WireWriter writer;
  writer.number(static_cast<std::uint32_t>(writes.changes.size()));
  for (const RowChange& change : writes.changes) {
    writer.number(static_cast<std::uint8_t>(change.kind)).length_prefixed(change.key).length_prefixed(change.value);
  }
  writer.number(static_cast<std::uint32_t>(writes.requests.size()));
  for (const auto& [id, is_void] : writes.requests) {
    writer.length_prefixed(id).number(static_cast<std::uint8_t>(is_void));
  }
  return writer.bytes();
}

TransactionWrites decode(std::string_view payload) {
  WireReader reader(payload);
  TransactionWrites writes;
  writes.changes.resize(reader.number<std::uint32_t>());
  for (RowChange& change : writes.changes) {
    change.kind = static_cast<RowChange::Kind>(reader.number<std::uint8_t>());
    change.key = reader.length_prefixed().value_or("");
    change.value = reader.length_prefixed().value_or("");
  }
  const auto requests = reader.number<std::uint32_t>();
  for (std::uint32_t index = 0; index < requests; ++index) {
    const std::string id = reader.length_prefixed().value_or("");
    writes.requests[id] = reader.number<std::uint8_t>() != 0;
  }
  return writes;
}

}  // namespace

void MemberData::apply(const RowChange& change) {
  const auto row = rows.find(change.key);
  if (change.kind == RowChange::Kind::kPut) {
    rows[change.key] = change.value;
  } else if (change.kind == RowChange::Kind::kAppend && row != rows.end()) {
    row->second += change.value;
  } else if (change.kind == RowChange::Kind::kDelete && row != rows.end()) {
    rows.erase(row);
  }
}

void MemberData::apply(const TransactionWrites& writes) {
  for (const RowChange& change : writes.changes) {
    apply(change);
  }
  requests.insert(writes.requests.begin(), writes.requests.end());
}

MemberStatus MemberState::status() const {
  MemberStatus status;
  status.raised_term = m_raised_term;
  status.candidate = m_candidate;
  status.log_term = m_log.empty() ? Term() : m_log.back().term;
  status.received = received();
  status.replayed = m_replayed_records == 0 ? LogPosition() : m_log[m_replayed_records - 1].end;
  status.is_primary = m_is_primary;
  status.history = m_history;
  return status;
}

bool MemberState::raise_term(Term term, const HostId& candidate) {
  if (term == m_raised_term && candidate == m_candidate) {
    return true;
  }
  if (term <= m_raised_term) {
    return false;
  }
  m_raised_term = term;
  m_candidate = candidate;
  m_is_primary = false;
  return true;
}

bool MemberState::promote(Term term, const HostId& candidate) {
  if (term != m_raised_term || candidate != m_candidate) {
    return false;
  }
  if (m_is_primary) {
    return true;
  }
  if (!m_history.append(term, received())) {
    return false;
  }
  // An empty record of the new term, so that the log ends in this term even before the first write.
  append(term, encode({}));
  replay_until(received());
  m_is_primary = true;
  return true;
}

bool MemberState::follow(Term term) {
  if (term < m_raised_term || is_primary_in(term)) {
    return false;
  }
  if (term > m_raised_term) {
    m_raised_term = term;
    // The term was not granted to any candidate here, so promote() must refuse it.
    m_candidate = HostId();
  }
  m_is_primary = false;
  m_followed_term = term;
  return true;
}

void MemberState::commit(const TransactionWrites& writes) {
  append(m_raised_term, encode(writes));
  replay_until(received());
}

std::string MemberState::replication_request() const {
  return WireWriter().text(m_history.to_string()).number(received().value()).bytes();
}

std::string MemberState::answer_replication(std::string_view request) const {
  WireReader reader(request);
  const tl::expected<TermHistory, TermHistoryError> history = TermHistory::parse(reader.text());
  const LogPosition end(reader.number<std::uint64_t>());
  WireWriter answer;
  if (!m_is_primary || !history.has_value()) {
    return answer.bytes();
  }
  const LogPosition common_end = m_history.common_prefix_end(*history, received(), end);
  answer.number(m_raised_term.value()).text(m_history.to_string()).number(common_end.value());
  const auto first = std::partition_point(m_log.begin(), m_log.end(),
                                          [common_end](const Record& record) { return record.end <= common_end; });
  answer.number(static_cast<std::uint32_t>(m_log.end() - first));
  for (auto record = first; record != m_log.end(); ++record) {
    answer.number(record->term.value()).length_prefixed(record->payload);
  }
  return answer.bytes();
}

void MemberState::apply_replication(std::string_view answer) {
  WireReader reader(answer);
  const Term term(reader.number<std::uint64_t>());
  const tl::expected<TermHistory, TermHistoryError> history = TermHistory::parse(reader.text());
  const LogPosition common_end(reader.number<std::uint64_t>());
  // An answer of a primary with a lower term may arrive after this member granted a higher term.
  if (!is_following() || term != m_followed_term || !history.has_value()) {
    return;
  }
  truncate(common_end);
  m_history = *history;
  const auto records = reader.number<std::uint32_t>();
  for (std::uint32_t index = 0; index < records; ++index) {
    const Term record_term(reader.number<std::uint64_t>());
    append(record_term, reader.length_prefixed().value_or(""));
  }
}

void MemberState::replay_until(LogPosition position) {
  while (m_replayed_records < m_log.size() && m_log[m_replayed_records].end <= position) {
    m_data.apply(decode(m_log[m_replayed_records].payload));
    ++m_replayed_records;
  }
}

void MemberState::append(Term term, std::string payload) {
  const LogPosition end(received().value() + kRecordHeaderBytes + payload.size());
  m_log.push_back({term, end, std::move(payload)});
}

void MemberState::truncate(LogPosition position) {
  while (!m_log.empty() && m_log.back().end > position) {
    m_log.pop_back();
  }
  m_history.truncate(position);
  if (m_replayed_records <= m_log.size()) {
    return;
  }
  m_data = {};
  m_replayed_records = 0;
  replay_until(received());
}

}  // namespace teaselrudder::testing
