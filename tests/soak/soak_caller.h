#pragma once

#include <uv.h>

#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "platform/line_codec.h"
#include "tests/model/guarantee_checker.h"
#include "tests/stand_ins/tcp_stream.h"

namespace teaselrudder::soak {

/// Counts what callers saw.
struct SoakTotals {
  std::uint64_t served = 0;
  std::uint64_t refused = 0;
  std::uint64_t broken_off = 0;
  std::uint64_t sessions = 0;
};

/// One session of a caller with one host over the callers' line protocol: statements and transactions with pauses,
/// values and prepared statements, one after the other until the connection ends. Deleted by the loop after its end.
class SoakCaller final : public testing::TcpStream {
 public:
  using Clock = std::function<TimePoint()>;

  /// What the callers of one run share; outlives them.
  struct Shared {
    model::GuaranteeChecker& checker;
    Clock clock;
    SoakTotals totals;
    std::uint64_t last_id = 0;
  };

  /// Gets the number of statements that a session was served, when it has ended.
  using EndHandler = std::function<void(std::uint64_t served)>;

  /// `on_end` is called once, at worst from inside the constructor.
  SoakCaller(uv_loop_t* loop, Shared& shared, std::uint64_t seed, std::uint16_t port, EndHandler on_end);

  /// Statements that this session has been served.
  std::uint64_t served() const { return m_served; }

 protected:
  void on_connected() override;
  void on_data(std::string_view data) override;
  void on_timer() override;
  void on_close() override;

 private:
  void on_line(std::string_view line);
  void on_reply(const StatementReply& reply);
  void send_next();
  void ask(StatementKind kind, const std::string& name = {}, StatementAccess access = StatementAccess::kRead);
  void pause();
  std::size_t below(std::size_t count) { return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random); }

  Shared& m_shared;
  std::mt19937_64 m_random;
  EndHandler m_on_end;
  ReadFreshness m_freshness;
  std::size_t m_session;
  std::string m_input;
  platform::MemberReplyReader m_reader;
  bool m_open = false;
  bool m_waits = false;
  SessionStatement m_statement;
  std::vector<SessionStatement> m_prepared;
  std::uint64_t m_served = 0;
};

/// Name of the database under which callers read with this freshness.
std::string database_of(ReadFreshness freshness);

}  // namespace teaselrudder::soak
