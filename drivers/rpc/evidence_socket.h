#pragma once

#include <uv.h>

#include <optional>
#include <string>
#include <string_view>

#include "core/metrics/counters.h"
#include "core/ports/evidence_port.h"
#include "drivers/event_loop/clock.h"
#include "drivers/event_loop/event_loop.h"
#include "tl/expected.hpp"

namespace teaselrudder {

/// Maximum size of a datagram in bytes. Larger reports are not sent, only counted.
inline constexpr std::size_t kMaxEvidenceBytes = 8192;

/// Encodes a report as a packed Cap'n Proto message.
std::string encode_evidence(const EvidenceReport& report);

/// Decodes a report. Returns nothing if `bytes` is not a valid report.
std::optional<EvidenceReport> decode_evidence(std::string_view bytes);

/// Encodes a message about quotas as a packed Cap'n Proto message.
std::string encode_quota_message(const QuotaMessage& message);

/// Decodes a message about quotas. Returns nothing if `bytes` is not a valid one.
std::optional<QuotaMessage> decode_quota_message(std::string_view bytes);

/// Sends and receives messages between hosts as UDP datagrams, so that an unresponsive TCP connection cannot delay
/// them.
class EvidenceSocket final : public EvidencePort {
 public:
  /// All references must outlive this object. The loop must run once more after its destruction to release the socket.
  EvidenceSocket(EventLoop& loop, const Clock& clock, Counters& counters, EvidenceEvents& receiver);
  ~EvidenceSocket() override;

  /// Starts to receive datagrams at `endpoint`. Returns a one-line error if the address is invalid or cannot be bound.
  tl::expected<void, std::string> listen(const Endpoint& endpoint);

  void send_report(const Endpoint& host, const EvidenceReport& report) override;
  void send_quota_message(const Endpoint& host, const QuotaMessage& message) override;

 private:
  void on_datagram(std::string_view bytes);
  void send(const Endpoint& host, std::string bytes);

  const Clock& m_clock;
  Counters& m_counters;
  EvidenceEvents& m_receiver;
  /// The loop deletes the handle after the destructor has closed it.
  uv_udp_t* m_socket;
};

}  // namespace teaselrudder
