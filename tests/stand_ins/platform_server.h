#pragma once

#include <uv.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "core/ports/promotion_port.h"
#include "tests/stand_ins/http_text.h"
#include "tests/stand_ins/kv_content.h"
#include "tests/stand_ins/tcp_stream.h"

namespace teaselrudder::testing {

/// What goes wrong between one host and the platform.
enum class PlatformFault {
  kNone,
  kSilent,  // Nothing is answered, and nothing is done.
  kReset,   // Connections are closed instead of an answer.
  kBusy,    // Status 503; nothing is done.
  kSlow,    // Answers come late.
};

/// The platform as one host reaches it, over HTTP/1.1 on a port of 127.0.0.1 of its own: the metadata store and the
/// promotion of members.
class PlatformServer final : private PromotionEvents {
 public:
  using Clock = std::function<TimePoint()>;

  /// All references outlive the server. The loop has to run once more after the server is destroyed.
  PlatformServer(uv_loop_t* loop, KvContent& content, KvContent::View view, PromotionPort& promotions, Clock clock);
  PlatformServer(const PlatformServer&) = delete;
  PlatformServer& operator=(const PlatformServer&) = delete;
  ~PlatformServer() override;

  std::uint16_t port() const { return m_listener->port(); }
  void set_fault(PlatformFault fault) { m_fault = fault; }
  /// The next `count` writes and lease calls take effect, and their connections are closed without an answer.
  void lose_answers(int count) { m_lost_answers = count; }
  /// Ends every open connection.
  void reset_connections();
  /// Answers the watches that have something to report now.
  void on_content_changed();

 private:
  class Exchange;

  void on_promotion(const GroupId& group, const MemberId& member, PromotionOutcome outcome, TimePoint now) override;
  void serve(Exchange& exchange, const HttpRequestText& request);
  void serve_promotion(Exchange& exchange, const HttpRequestText& request);
  void start_watch(Exchange& exchange, const std::map<std::string, std::string>& query);
  void respond(Exchange& exchange, const KvContent::Answer& answer, bool may_lose = false);

  KvContent& m_content;
  KvContent::View m_view;
  PromotionPort& m_promotions;
  Clock m_clock;
  TcpListener* m_listener;
  PlatformFault m_fault = PlatformFault::kNone;
  int m_lost_answers = 0;
  std::uint64_t m_last_exchange = 0;
  std::map<std::uint64_t, Exchange*> m_exchanges;
  /// Exchanges that wait for the outcome of a promotion, oldest first.
  std::map<MemberId, std::deque<std::uint64_t>> m_promoting;
};

}  // namespace teaselrudder::testing
