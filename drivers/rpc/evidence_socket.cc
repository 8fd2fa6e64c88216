#include "drivers/rpc/evidence_socket.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <array>
#include <utility>

#include "drivers/net/socket_address.h"
#include "drivers/rpc/evidence.capnp.h"

namespace teaselrudder {

namespace {

/// Maximum number of groups in one report.
constexpr unsigned kMaxGroups = 1024;

Duration micros(std::int64_t count) { return Duration(count < 0 ? 0 : count); }

std::optional<Duration> optional_micros(std::int64_t count) {
  return count < 0 ? std::nullopt : std::optional<Duration>(Duration(count));
}

void write_group(const PrimaryEvidence& from, rpc::PrimaryEvidence::Builder to) {
  to.setGroup(from.group.value());
  to.setPrimary(from.primary.value());
  to.setTerm(from.term.value());
  to.setHeardAgeMicros(from.last_answer_age.has_value() ? from.last_answer_age->count() : -1);
  to.setSilentForMicros(from.unanswered_for.count());
  to.setCommitAgeMicros(from.commit_age.has_value() ? from.commit_age->count() : -1);
  to.setCommitStalledForMicros(from.commit_stalled_for.count());
  if (from.position.has_value()) {
    to.setPositionTerm(from.position->term.value());
    to.setPosition(from.position->position.value());
    to.setPositionAgeMicros(from.position_age.count());
  }
  to.setLeaseRemainingMicros(from.lease_remaining.count());
  to.setLeaseToken(from.lease_token);
  to.setRequestsLease(from.requests_lease);
  to.setDoubtsPrimary(from.doubts_primary);
  to.setLacksConnection(from.lacks_connection);
  to.setReplacedTerm(from.replaced_term.value());
  to.setRevokedTerm(from.revoked_term.value());
  to.setAcknowledgedTerm(from.acknowledged.term.value());
  to.setAcknowledgedPosition(from.acknowledged.position.value());
}

PrimaryEvidence read_group(rpc::PrimaryEvidence::Reader from) {
  PrimaryEvidence to;
  to.group = GroupId(from.getGroup());
  to.primary = MemberId(from.getPrimary());
  to.term = Term(from.getTerm());
  to.last_answer_age = optional_micros(from.getHeardAgeMicros());
  to.unanswered_for = micros(from.getSilentForMicros());
  to.commit_age = optional_micros(from.getCommitAgeMicros());
  to.commit_stalled_for = micros(from.getCommitStalledForMicros());
  if (from.getPositionTerm() != 0) {
    to.position = LogPoint{Term(from.getPositionTerm()), LogPosition(from.getPosition())};
    to.position_age = micros(from.getPositionAgeMicros());
  }
  to.lease_remaining = micros(from.getLeaseRemainingMicros());
  to.lease_token = from.getLeaseToken();
  to.requests_lease = from.getRequestsLease();
  to.doubts_primary = from.getDoubtsPrimary();
  to.lacks_connection = from.getLacksConnection();
  to.replaced_term = Term(from.getReplacedTerm());
  to.revoked_term = Term(from.getRevokedTerm());
  to.acknowledged = {Term(from.getAcknowledgedTerm()), LogPosition(from.getAcknowledgedPosition())};
  return to;
}

std::string to_bytes(capnp::MessageBuilder& message) {
  kj::VectorOutputStream out;
  capnp::writePackedMessage(out, message);
  const auto bytes = out.getArray();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

/// Passes the message in `bytes` to `read`. Does nothing else if the bytes are not a valid message; `read` may then
/// have been called, but has not returned.
template <typename Read>
void read_message(std::string_view bytes, const Read& read) {
  static_cast<void>(kj::runCatchingExceptions([&] {
    kj::ArrayInputStream in({reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()});
    capnp::PackedMessageReader message(in);
    read(message.getRoot<rpc::EvidenceReport>());
  }));
}

void provide_buffer(uv_handle_t* /*handle*/, std::size_t /*suggested*/, uv_buf_t* buffer) {
  // Each datagram is processed within its callback, so all sockets of a thread can share one buffer.
  static thread_local std::array<char, kMaxEvidenceBytes> bytes;
  *buffer = uv_buf_init(bytes.data(), static_cast<unsigned int>(bytes.size()));
}

}  // namespace

std::string encode_evidence(const EvidenceReport& report) {
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<rpc::EvidenceReport>();
  root.setSender(report.sender.value());
  root.setSentAtMicros(report.sent_at_us);
  root.setEchoMicros(report.echo_us);
  root.setEchoHoldMicros(report.echo_delay.count());
  root.setDutyToken(report.duty_token);
  root.setStoreCurrent(report.store_current);
  root.setNewestDutyToken(report.newest_duty_token);
  root.setHearsDutyHolder(report.hears_duty_holder);
  root.setStopping(report.stopping);
  auto groups = root.initGroups(static_cast<unsigned int>(report.groups.size()));
  for (unsigned int index = 0; index < groups.size(); ++index) {
    write_group(report.groups[index], groups[index]);
  }
  return to_bytes(message);
}

std::optional<EvidenceReport> decode_evidence(std::string_view bytes) {
  std::optional<EvidenceReport> report;
  read_message(bytes, [&report](rpc::EvidenceReport::Reader root) {
    EvidenceReport read;
    read.sender = HostId(root.getSender());
    read.sent_at_us = root.getSentAtMicros();
    read.echo_us = root.getEchoMicros();
    read.echo_delay = micros(root.getEchoHoldMicros());
    read.duty_token = root.getDutyToken();
    read.store_current = root.getStoreCurrent();
    read.newest_duty_token = root.getNewestDutyToken();
    read.hears_duty_holder = root.getHearsDutyHolder();
    read.stopping = root.getStopping();
    const auto groups = root.getGroups();
    if (groups.size() > kMaxGroups || read.sender.value().empty() || root.hasQuota()) {
      return;
    }
    for (const auto group : groups) {
      read.groups.push_back(read_group(group));
    }
    report = std::move(read);
  });
  return report;
}

std::string encode_quota_message(const QuotaMessage& message) {
  capnp::MallocMessageBuilder builder;
  auto root = builder.initRoot<rpc::EvidenceReport>();
  root.setSender(message.sender.value());
  auto quota = root.initQuota();
  quota.setIsAnswer(message.is_answer);
  quota.setPledgedShards(message.pledged_shards);
  quota.setCreditedShards(message.credited_shards);
  auto tokens = quota.initTokens(static_cast<unsigned int>(message.tokens.size()));
  for (unsigned int index = 0; index < tokens.size(); ++index) {
    tokens[index].setAccount(message.tokens[index].account.value());
    tokens[index].setTokens(message.tokens[index].tokens);
    tokens[index].setRequest(message.tokens[index].request);
  }
  return to_bytes(builder);
}

std::optional<QuotaMessage> decode_quota_message(std::string_view bytes) {
  std::optional<QuotaMessage> message;
  read_message(bytes, [&message](rpc::EvidenceReport::Reader root) {
    QuotaMessage read;
    read.sender = HostId(root.getSender());
    const auto quota = root.getQuota();
    read.is_answer = quota.getIsAnswer();
    read.pledged_shards = quota.getPledgedShards();
    read.credited_shards = quota.getCreditedShards();
    const auto tokens = quota.getTokens();
    if (!root.hasQuota() || tokens.size() > kMaxQuotaEntries || read.sender.value().empty()) {
      return;
    }
    for (const auto entry : tokens) {
      read.tokens.push_back({AccountId(entry.getAccount()), entry.getTokens(), entry.getRequest()});
    }
    message = std::move(read);
  });
  return message;
}

EvidenceSocket::EvidenceSocket(EventLoop& loop, const Clock& clock, Counters& counters, EvidenceEvents& receiver)
    : m_clock(clock), m_counters(counters), m_receiver(receiver), m_socket(new uv_udp_t) {
  uv_udp_init(loop.uv_loop(), m_socket);
  m_socket->data = this;
}

EvidenceSocket::~EvidenceSocket() {
  uv_close(reinterpret_cast<uv_handle_t*>(m_socket),
           [](uv_handle_t* handle) { delete reinterpret_cast<uv_udp_t*>(handle); });
}

tl::expected<void, std::string> EvidenceSocket::listen(const Endpoint& endpoint) {
  auto address = to_socket_address(endpoint);
  if (!address.has_value()) {
    return tl::unexpected("cannot receive evidence reports, because this is not an IP address: " + endpoint.ip);
  }
  int status = uv_udp_bind(m_socket, address->get(), 0);
  if (status == 0) {
    status = uv_udp_recv_start(
        m_socket, provide_buffer,
        [](uv_udp_t* socket, ssize_t count, const uv_buf_t* buffer, const sockaddr* /*from*/, unsigned int /*flags*/) {
          if (count > 0) {
            static_cast<EvidenceSocket*>(socket->data)->on_datagram({buffer->base, static_cast<std::size_t>(count)});
          }
        });
  }
  if (status != 0) {
    return tl::unexpected(std::string("cannot receive evidence reports: ") + uv_strerror(status));
  }
  return {};
}

void EvidenceSocket::on_datagram(std::string_view bytes) {
  if (const auto report = decode_evidence(bytes); report.has_value()) {
    m_receiver.on_evidence(*report, m_clock.now());
  } else if (const auto message = decode_quota_message(bytes); message.has_value()) {
    m_receiver.on_quota_message(*message, m_clock.now());
  } else {
    m_counters.count("evidence_reports_malformed");
  }
}

void EvidenceSocket::send_report(const Endpoint& host, const EvidenceReport& report) {
  send(host, encode_evidence(report));
}

void EvidenceSocket::send_quota_message(const Endpoint& host, const QuotaMessage& message) {
  send(host, encode_quota_message(message));
}

void EvidenceSocket::send(const Endpoint& host, std::string bytes) {
  auto address = to_socket_address(host);
  if (!address.has_value() || bytes.size() > kMaxEvidenceBytes) {
    m_counters.count("evidence_reports_not_sent");
    return;
  }
  uv_buf_t buffer = uv_buf_init(bytes.data(), static_cast<unsigned int>(bytes.size()));
  if (uv_udp_try_send(m_socket, &buffer, 1, address->get()) < 0) {
    m_counters.count("evidence_reports_not_sent");
  }
}

}  // namespace teaselrudder
