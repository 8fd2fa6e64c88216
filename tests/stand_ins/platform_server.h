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
#include "tests/stand_ins/in_memory_kv_store.h"
#include "tests/stand_ins/tcp_stream.h"

namespace teaselrudder::testing {

/// Faults of the platform as one host sees it.
enum class PlatformFault {
  kNone,
  kSilent,  // Requests are neither processed nor answered.
  kReset,   // Connections are closed on a request, which is not processed.
  kBusy,    // Requests get status 503 and are not processed.
  kSlow,    // Answers are delayed.
};

/// Test double of the platform for one host: serves the metadata store and the promotion of members over HTTP/1.1 on
/// its own port of 127.0.0.1.
class PlatformServer final : private PromotionEvents {
 public:
  using Clock = std::function<TimePoint()>;

  /// All references must outlive the server. The event loop must run once more after its destruction.
  PlatformServer(uv_loop_t* loop, InMemoryKvStore& store, InMemoryKvStore::View view, PromotionPort& promotions,
                 Clock clock);
  PlatformServer(const PlatformServer&) = delete;
  PlatformServer& operator=(const PlatformServer&) = delete;
  ~PlatformServer() override;

  std::uint16_t port() const { return m_listener->port(); }
  void set_fault(PlatformFault fault) { m_fault = fault; }
  /// Closes the connection instead of answering the next `count` transactions, lease grants and promotions, which still
  /// take effect.
  void lose_answers(int count) { m_answers_to_lose = count; }
  /// Closes every open connection.
  void reset_connections();
  /// Answers the watches for which there are changes.
  void on_store_changed();

 private:
  class Connection;

  void on_promotion(const GroupId& group, const MemberId& member, PromotionOutcome outcome, TimePoint now) override;
  void serve(Connection& connection, const HttpRequestText& request);
  void serve_promotion(Connection& connection, const HttpRequestText& request);
  void start_watch(Connection& connection, const std::map<std::string, std::string>& query);
  void respond(Connection& connection, const InMemoryKvStore::Answer& answer, bool may_lose = false);

  InMemoryKvStore& m_store;
  InMemoryKvStore::View m_view;
  PromotionPort& m_promotions;
  Clock m_clock;
  TcpListener* m_listener;
  PlatformFault m_fault = PlatformFault::kNone;
  int m_answers_to_lose = 0;
  std::uint64_t m_last_connection = 0;
  std::map<std::uint64_t, Connection*> m_connections;
  /// Numbers of the connections that wait for the outcome of a promotion, oldest first.
  std::map<MemberId, std::deque<std::uint64_t>> m_promoting;
};

}  // namespace teaselrudder::testing
