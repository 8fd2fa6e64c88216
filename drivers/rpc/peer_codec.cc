#include "drivers/rpc/peer_codec.h"

#include <arpa/inet.h>
#include <kj/exception.h>

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

#include "core/config/configuration.h"
#include "core/config/configuration_json.h"

namespace teaselrudder {

namespace {

// The enums of the schema and of the core have the same values in the same order, so they are converted by number.
static_assert(static_cast<int>(Freshness::kMaxAge) == static_cast<int>(rpc::Freshness::MAX_AGE));
static_assert(static_cast<int>(Urgency::kBackground) == static_cast<int>(rpc::Urgency::BACKGROUND));
static_assert(static_cast<int>(TransactionStep::kRollback) == static_cast<int>(rpc::TransactionStep::ROLLBACK));
static_assert(static_cast<int>(HostState::kDead) == static_cast<int>(rpc::HostState::DEAD));
static_assert(static_cast<int>(Ran::kUnknown) == static_cast<int>(rpc::Ran::UNKNOWN));

constexpr std::size_t kMaxSqlBytes = kMaxPeerMessageBytes;
constexpr std::size_t kSqlstateLength = 5;
constexpr std::int64_t kRetryDoesNotHelp = -1;

// Exception that a nested read function throws on an invalid field. decode_checked() converts it to a PeerCodecError.
struct DecodeFailure {
  PeerCodecErrorKind kind;
  const char* field;
};

std::string_view kind_text(PeerCodecErrorKind kind) {
  switch (kind) {
    case PeerCodecErrorKind::kMalformed:
      return "is malformed";
    case PeerCodecErrorKind::kUnknownValue:
      return "has an unknown value";
    case PeerCodecErrorKind::kListTooLong:
      return "has too many entries";
    case PeerCodecErrorKind::kInvalidText:
      return "is empty, too long or in the wrong format";
    case PeerCodecErrorKind::kInvalidTerm:
      return "is not a valid term";
    case PeerCodecErrorKind::kOutOfRange:
      return "is out of range";
  }
  return "is malformed";
}

template <typename Message, typename Read>
tl::expected<Message, PeerCodecError> decode_checked(Read read) {
  try {
    return Message(read());
  } catch (const DecodeFailure& failure) {
    std::string message = std::string("field '") + failure.field + "' " + std::string(kind_text(failure.kind));
    return tl::unexpected(PeerCodecError{failure.kind, std::move(message)});
  } catch (const kj::Exception& exception) {
    return tl::unexpected(PeerCodecError{PeerCodecErrorKind::kMalformed, exception.getDescription().cStr()});
  }
}

void require(bool condition, PeerCodecErrorKind kind, const char* field) {
  if (!condition) {
    throw DecodeFailure{kind, field};
  }
}

capnp::Text::Reader to_wire_text(const std::string& text) { return {text.c_str(), text.size()}; }

std::string read_text(capnp::Text::Reader text, std::size_t limit, const char* field) {
  require(text.size() <= limit, PeerCodecErrorKind::kInvalidText, field);
  return {text.begin(), text.size()};
}

std::string read_optional_name(capnp::Text::Reader text, const char* field) {
  return read_text(text, kMaxNameLength, field);
}

std::string read_name(capnp::Text::Reader text, const char* field) {
  require(text.size() > 0, PeerCodecErrorKind::kInvalidText, field);
  return read_optional_name(text, field);
}

Term read_term(std::uint64_t term, const char* field) {
  require(term <= kMaxPeerTerm, PeerCodecErrorKind::kInvalidTerm, field);
  return Term(term);
}

Duration read_duration(std::int64_t micros, Duration limit, const char* field) {
  require(micros >= 0 && micros <= limit.count(), PeerCodecErrorKind::kOutOfRange, field);
  return Duration(micros);
}

template <typename Core, typename Wire>
Core read_enum(Wire value, Core last, const char* field) {
  const auto number = static_cast<std::uint16_t>(value);
  require(number <= static_cast<std::uint16_t>(last), PeerCodecErrorKind::kUnknownValue, field);
  return static_cast<Core>(number);
}

template <typename Wire, typename Core>
Wire to_wire_enum(Core value) {
  return static_cast<Wire>(static_cast<std::uint16_t>(value));
}

template <typename List>
List checked_list(List list, std::size_t limit, const char* field) {
  require(list.size() <= limit, PeerCodecErrorKind::kListTooLong, field);
  return list;
}

template <typename Size>
unsigned to_wire_size(Size size) {
  return static_cast<unsigned>(size);
}

using OptionalTexts = std::vector<std::optional<std::string>>;

void write_optional_texts(const OptionalTexts& from, capnp::List<rpc::OptionalText>::Builder to) {
  unsigned index = 0;
  for (const std::optional<std::string>& text : from) {
    if (text.has_value()) {
      to[index].setPresent(to_wire_text(*text));
    }
    ++index;
  }
}

OptionalTexts read_optional_texts(capnp::List<rpc::OptionalText>::Reader from, const char* field) {
  OptionalTexts texts;
  texts.reserve(from.size());
  for (const rpc::OptionalText::Reader entry : from) {
    switch (entry.which()) {
      case rpc::OptionalText::ABSENT:
        texts.emplace_back(std::nullopt);
        continue;
      case rpc::OptionalText::PRESENT:
        texts.emplace_back(read_text(entry.getPresent(), kMaxPeerMessageBytes, field));
        continue;
    }
    throw DecodeFailure{PeerCodecErrorKind::kUnknownValue, field};
  }
  return texts;
}

void write_session(const SessionPosition& from, rpc::SessionPosition::Builder to) {
  to.setTerm(from.point.term.value());
  to.setPosition(from.point.position.value());
  to.setUncertain(from.uncertain);
}

SessionPosition read_session(rpc::SessionPosition::Reader from) {
  SessionPosition session;
  session.point.term = read_term(from.getTerm(), "session.term");
  session.point.position = LogPosition(from.getPosition());
  session.uncertain = from.getUncertain();
  const bool position_has_term = session.point.term.value() > 0 || session.point.position.value() == 0;
  require(position_has_term, PeerCodecErrorKind::kInvalidTerm, "session.term");
  return session;
}

void write_host(const HostRecord& from, rpc::HostRecord::Builder to) {
  to.setHost(to_wire_text(from.host.value()));
  to.setFailureDomain(to_wire_text(from.failure_domain.value()));
  to.setIp(to_wire_text(from.peer_endpoint.ip));
  to.setPort(from.peer_endpoint.port);
  to.setIncarnation(from.incarnation.value());
  to.setState(to_wire_enum<rpc::HostState>(from.state));
}

bool is_ip_address(const std::string& text) {
  std::array<unsigned char, sizeof(in6_addr)> bytes{};
  return inet_pton(AF_INET, text.c_str(), bytes.data()) == 1 || inet_pton(AF_INET6, text.c_str(), bytes.data()) == 1;
}

HostRecord read_host(rpc::HostRecord::Reader from) {
  HostRecord record;
  record.host = HostId(read_name(from.getHost(), "host"));
  record.failure_domain = FailureDomainId(read_name(from.getFailureDomain(), "failureDomain"));
  record.peer_endpoint.ip = read_text(from.getIp(), INET6_ADDRSTRLEN, "ip");
  require(is_ip_address(record.peer_endpoint.ip), PeerCodecErrorKind::kInvalidText, "ip");
  record.peer_endpoint.port = from.getPort();
  require(record.peer_endpoint.port > 0, PeerCodecErrorKind::kOutOfRange, "port");
  record.incarnation = Incarnation(from.getIncarnation());
  record.state = read_enum(from.getState(), HostState::kDead, "state");
  return record;
}

void write_hosts(const std::vector<HostRecord>& from, capnp::List<rpc::HostRecord>::Builder to) {
  for (unsigned index = 0; index < to.size(); ++index) {
    write_host(from[index], to[index]);
  }
}

std::vector<HostRecord> read_hosts(capnp::List<rpc::HostRecord>::Reader from) {
  std::vector<HostRecord> records;
  for (const rpc::HostRecord::Reader record : checked_list(from, kMaxPeerHostRecords, "records")) {
    records.push_back(read_host(record));
  }
  return records;
}

std::vector<Statement> read_statements(capnp::List<rpc::Statement>::Reader from) {
  std::vector<Statement> statements;
  for (const rpc::Statement::Reader entry : checked_list(from, kMaxPeerStatements, "statements")) {
    Statement statement;
    statement.sql = read_text(entry.getSql(), kMaxSqlBytes, "sql");
    const auto parameters = checked_list(entry.getParameters(), kMaxPeerParameters, "parameters");
    statement.parameters = read_optional_texts(parameters, "parameters");
    statements.push_back(std::move(statement));
  }
  return statements;
}

// Such a step is addressed by the transaction handle, so it may lack the service and the group.
bool continues_open_transaction(TransactionStep step) {
  return step != TransactionStep::kNone && step != TransactionStep::kBegin;
}

RequestEnvelope read_envelope(rpc::RequestEnvelope::Reader from) {
  RequestEnvelope envelope;
  envelope.step = read_enum(from.getStep(), TransactionStep::kRollback, "step");
  envelope.transaction = TransactionHandle(read_text(from.getTransaction(), kMaxPeerHandleLength, "transaction"));
  if (continues_open_transaction(envelope.step)) {
    require(!envelope.transaction.value().empty(), PeerCodecErrorKind::kInvalidText, "transaction");
    envelope.service = ServiceName(read_optional_name(from.getService(), "service"));
    envelope.group = GroupId(read_optional_name(from.getGroup(), "group"));
  } else {
    envelope.service = ServiceName(read_name(from.getService(), "service"));
    envelope.group = GroupId(read_name(from.getGroup(), "group"));
  }
  envelope.statements = read_statements(from.getStatements());
  envelope.session = read_session(from.getSession());
  envelope.freshness = read_enum(from.getFreshness(), Freshness::kMaxAge, "freshness");
  envelope.max_age = read_duration(from.getMaxAgeMicros(), kMaxMaxAge, "maxAgeMicros");
  envelope.urgency = read_enum(from.getUrgency(), Urgency::kBackground, "urgency");
  envelope.remaining = read_duration(from.getRemainingMicros(), kMaxDeadline, "remainingMicros");
  envelope.idempotent = from.getIdempotent();
  envelope.read_only = from.getReadOnly();
  envelope.request_id = RequestId(read_text(from.getRequestId(), kMaxPeerHandleLength, "requestId"));
  envelope.hops = from.getHops();
  require(envelope.hops <= kMaxPeerHops, PeerCodecErrorKind::kOutOfRange, "hops");
  const std::string target = read_optional_name(from.getTarget(), "target");
  if (!target.empty()) {
    envelope.target = MemberId(target);
  }
  envelope.term = read_term(from.getTerm(), "term");
  return envelope;
}

void write_result(const ResultSet& from, rpc::ResultSet::Builder to) {
  auto columns = to.initColumns(to_wire_size(from.columns.size()));
  for (unsigned index = 0; index < columns.size(); ++index) {
    columns.set(index, to_wire_text(from.columns[index]));
  }
  auto rows = to.initRows(to_wire_size(from.rows.size()));
  for (unsigned index = 0; index < rows.size(); ++index) {
    write_optional_texts(from.rows[index], rows[index].initValues(to_wire_size(from.rows[index].size())));
  }
  to.setAffected(from.affected);
}

ResultSet read_result(rpc::ResultSet::Reader from) {
  ResultSet result;
  for (const capnp::Text::Reader column : checked_list(from.getColumns(), kMaxPeerColumns, "columns")) {
    result.columns.push_back(read_text(column, kMaxPeerMessageBytes, "columns"));
  }
  for (const rpc::Row::Reader row : checked_list(from.getRows(), kMaxPeerRows, "rows")) {
    result.rows.push_back(read_optional_texts(checked_list(row.getValues(), kMaxPeerColumns, "values"), "values"));
  }
  result.affected = from.getAffected();
  return result;
}

void write_answer(const RequestAnswer& from, rpc::Answer::Builder to) {
  auto results = to.initResults(to_wire_size(from.results.size()));
  for (unsigned index = 0; index < results.size(); ++index) {
    write_result(from.results[index], results[index]);
  }
  to.setRequestId(to_wire_text(from.request_id.value()));
  to.setServedBy(to_wire_text(from.served_by.value()));
  to.setByPrimary(from.by_primary);
  to.setTransaction(to_wire_text(from.transaction.value()));
}

RequestAnswer read_answer(rpc::Answer::Reader from) {
  RequestAnswer answer;
  for (const rpc::ResultSet::Reader result : checked_list(from.getResults(), kMaxPeerStatements, "results")) {
    answer.results.push_back(read_result(result));
  }
  answer.request_id = RequestId(read_text(from.getRequestId(), kMaxPeerHandleLength, "requestId"));
  answer.served_by = MemberId(read_optional_name(from.getServedBy(), "servedBy"));
  answer.by_primary = from.getByPrimary();
  answer.transaction = TransactionHandle(read_text(from.getTransaction(), kMaxPeerHandleLength, "transaction"));
  return answer;
}

// Truncates only between UTF-8 sequences, because the detail is later written to a JSON document.
std::string truncate_detail(const std::string& detail) {
  if (detail.size() <= kMaxPeerDetailLength) {
    return detail;
  }
  std::size_t length = kMaxPeerDetailLength;
  while (length > 0 && (static_cast<unsigned char>(detail[length]) & 0xC0U) == 0x80U) {
    --length;
  }
  return detail.substr(0, length);
}

void write_refusal(const Refusal& from, rpc::Refusal::Builder to) {
  to.setReason(to_wire_text(std::string(to_string(from.reason))));
  to.setRan(to_wire_enum<rpc::Ran>(from.ran));
  to.setRetryAfterMicros(from.retry_after.has_value() ? from.retry_after->count() : kRetryDoesNotHelp);
  to.setDetail(to_wire_text(truncate_detail(from.detail)));
  to.setSqlstate(to_wire_text(from.sqlstate));
}

Refusal read_refusal(rpc::Refusal::Reader from) {
  const auto reason = refusal_reason_from_string(read_name(from.getReason(), "reason"));
  require(reason.has_value(), PeerCodecErrorKind::kUnknownValue, "reason");
  Refusal refusal;
  refusal.reason = reason.value_or(RefusalReason::kInternal);
  refusal.ran = read_enum(from.getRan(), Ran::kUnknown, "ran");
  const std::int64_t retry_after = from.getRetryAfterMicros();
  if (retry_after != kRetryDoesNotHelp) {
    refusal.retry_after = read_duration(retry_after, kMaxDeadline, "retryAfterMicros");
  }
  refusal.detail = read_text(from.getDetail(), kMaxPeerDetailLength, "detail");
  refusal.sqlstate = read_text(from.getSqlstate(), kSqlstateLength, "sqlstate");
  return refusal;
}

SubmitReply read_outcome(rpc::AnswerEnvelope::Reader from) {
  const SessionPosition session = read_session(from.getSession());
  switch (from.which()) {
    case rpc::AnswerEnvelope::ANSWER: {
      RequestAnswer answer = read_answer(from.getAnswer());
      answer.session = session;
      return {std::move(answer)};
    }
    case rpc::AnswerEnvelope::REFUSAL:
      return {tl::unexpected(RefusedRequest{read_refusal(from.getRefusal()), session})};
  }
  throw DecodeFailure{PeerCodecErrorKind::kUnknownValue, "answer"};
}

}  // namespace

void encode_message(const RequestEnvelope& from, rpc::RequestEnvelope::Builder to) {
  to.setService(to_wire_text(from.service.value()));
  to.setGroup(to_wire_text(from.group.value()));
  auto statements = to.initStatements(to_wire_size(from.statements.size()));
  for (unsigned index = 0; index < statements.size(); ++index) {
    const Statement& statement = from.statements[index];
    statements[index].setSql(to_wire_text(statement.sql));
    write_optional_texts(statement.parameters,
                         statements[index].initParameters(to_wire_size(statement.parameters.size())));
  }
  to.setStep(to_wire_enum<rpc::TransactionStep>(from.step));
  to.setTransaction(to_wire_text(from.transaction.value()));
  write_session(from.session, to.initSession());
  to.setFreshness(to_wire_enum<rpc::Freshness>(from.freshness));
  to.setMaxAgeMicros(from.max_age.count());
  to.setUrgency(to_wire_enum<rpc::Urgency>(from.urgency));
  // The deadline may have passed before the message is sent; the remaining time is then zero.
  to.setRemainingMicros(std::max(from.remaining, Duration::zero()).count());
  to.setIdempotent(from.idempotent);
  to.setReadOnly(from.read_only);
  to.setRequestId(to_wire_text(from.request_id.value()));
  to.setHops(from.hops);
  if (from.target.has_value()) {
    to.setTarget(to_wire_text(from.target->value()));
  }
  to.setTerm(from.term.value());
}

void encode_message(const Probe& from, rpc::ProbeMessage::Builder to) {
  write_host(from.sender, to.initSender());
  to.setConfigurationVersion(from.configuration_version.value());
  write_hosts(from.records, to.initRecords(to_wire_size(from.records.size())));
}

void encode_message(const SuspicionQuery& from, rpc::SuspicionQuery::Builder to) {
  to.setGroup(to_wire_text(from.group.value()));
  to.setMember(to_wire_text(from.member.value()));
  to.setTerm(from.term.value());
}

void encode_message(const FetchConfiguration& from, rpc::ConfigurationQuery::Builder to) {
  to.setKnownVersion(from.known.value());
}

void encode_message(const SubmitReply& from, rpc::AnswerEnvelope::Builder to) {
  if (from.outcome.has_value()) {
    write_session(from.outcome->session, to.initSession());
    write_answer(*from.outcome, to.initAnswer());
    return;
  }
  write_session(from.outcome.error().session, to.initSession());
  write_refusal(from.outcome.error().refusal, to.initRefusal());
}

void encode_message(const ProbeReply& from, rpc::ProbeReply::Builder to) {
  write_host(from.responder, to.initResponder());
  to.setConfigurationVersion(from.configuration_version.value());
  write_hosts(from.records, to.initRecords(to_wire_size(from.records.size())));
}

void encode_message(const SuspicionReply& from, rpc::SuspicionReply::Builder to) {
  to.setMonitored(from.monitored);
  to.setSuspected(from.suspected);
  to.setKnownTerm(from.known_term.value());
}

void encode_message(const ConfigurationReply& from, rpc::ConfigurationSnapshot::Builder to) {
  to.setVersion(from.version.value());
  to.setDocument(to_wire_text(from.document));
}

tl::expected<PeerRequest, PeerCodecError> decode_message(rpc::RequestEnvelope::Reader from) {
  return decode_checked<PeerRequest>([from] { return SubmitRequest{read_envelope(from)}; });
}

tl::expected<PeerRequest, PeerCodecError> decode_message(rpc::ProbeMessage::Reader from) {
  return decode_checked<PeerRequest>([from] {
    return Probe{read_host(from.getSender()), ConfigurationVersion(from.getConfigurationVersion()),
                 read_hosts(from.getRecords())};
  });
}

tl::expected<PeerRequest, PeerCodecError> decode_message(rpc::SuspicionQuery::Reader from) {
  return decode_checked<PeerRequest>([from] {
    return SuspicionQuery{GroupId(read_name(from.getGroup(), "group")), MemberId(read_name(from.getMember(), "member")),
                          read_term(from.getTerm(), "term")};
  });
}

tl::expected<PeerRequest, PeerCodecError> decode_message(rpc::ConfigurationQuery::Reader from) {
  return decode_checked<PeerRequest>(
      [from] { return FetchConfiguration{ConfigurationVersion(from.getKnownVersion())}; });
}

tl::expected<PeerResponse, PeerCodecError> decode_message(rpc::AnswerEnvelope::Reader from) {
  return decode_checked<PeerResponse>([from] { return read_outcome(from); });
}

tl::expected<PeerResponse, PeerCodecError> decode_message(rpc::ProbeReply::Reader from) {
  return decode_checked<PeerResponse>([from] {
    return ProbeReply{read_host(from.getResponder()), ConfigurationVersion(from.getConfigurationVersion()),
                      read_hosts(from.getRecords())};
  });
}

tl::expected<PeerResponse, PeerCodecError> decode_message(rpc::SuspicionReply::Reader from) {
  return decode_checked<PeerResponse>([from] {
    return SuspicionReply{from.getMonitored(), from.getSuspected(), read_term(from.getKnownTerm(), "knownTerm")};
  });
}

tl::expected<PeerResponse, PeerCodecError> decode_message(rpc::ConfigurationSnapshot::Reader from) {
  return decode_checked<PeerResponse>([from] {
    return ConfigurationReply{ConfigurationVersion(from.getVersion()),
                              read_text(from.getDocument(), kMaxConfigurationBytes, "document")};
  });
}

}  // namespace teaselrudder
