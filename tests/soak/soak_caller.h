#pragma once

#include <uv.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "platform/line_codec.h"
#include "tests/model/guarantee_checker.h"
#include "tests/stand_ins/tcp_stream.h"

namespace teaselrudder::soak {

/// Counters of what all callers observed.
struct SoakTotals {
  std::uint64_t served = 0;
  std::uint64_t refused = 0;
  std::uint64_t interrupted = 0;
  std::uint64_t sessions = 0;
};

/// One session of a caller with one host over the line protocol for callers. Sends random statements one at a time,
/// with pauses, transactions, session values and prepared statements, until the connection closes. The event loop then
/// deletes the object.
class SoakCaller final : public testing::TcpStream {
 public:
  using Clock = std::function<TimePoint()>;

  /// State that all callers of a run share; must outlive them.
  struct Shared {
    model::GuaranteeChecker& checker;
    Clock clock;
    SoakTotals totals;
    std::uint64_t last_id = 0;
    /// Prepared statements and values of session variables contain blanks, and some begin like others.
    bool odd_texts = false;
  };

  /// How a session ended.
  struct End {
    /// Number of statements that were served.
    std::uint64_t served = 0;
    /// The statement without an answer, if the other side ended the session.
    std::optional<RequestId> unanswered;
  };

  using EndHandler = std::function<void(const End& end)>;

  /// `on_end` is called once, and already in the constructor if connecting fails there.
  SoakCaller(uv_loop_t* loop, Shared& shared, std::uint64_t seed, std::uint16_t port, EndHandler on_end);

  /// Returns the number of statements that were served in this session.
  std::uint64_t served() const { return m_served; }

 protected:
  void on_connected() override;
  void on_data(std::string_view data) override;
  void on_end() override;
  void on_timer() override;
  void on_close() override;

 private:
  void on_line(std::string_view line);
  void on_reply(const StatementReply& reply);
  void send_next();
  void send_statement(StatementKind kind, const std::string& name = {},
                      StatementAccess access = StatementAccess::kRead);
  void pause();
  std::string random_argument(StatementKind kind);
  std::size_t random_below(std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
  }

  Shared& m_shared;
  std::mt19937_64 m_random;
  EndHandler m_on_end;
  ReadFreshness m_freshness;
  std::size_t m_session;
  std::string m_input;
  platform::MemberReplyReader m_reader;
  bool m_session_open = false;
  bool m_reply_pending = false;
  bool m_ended_by_host = false;
  SessionStatement m_statement;
  std::vector<SessionStatement> m_prepared;
  std::uint64_t m_served = 0;
};

/// Returns the database name whose route reads with this freshness.
std::string database_for(ReadFreshness freshness);

}  // namespace teaselrudder::soak
