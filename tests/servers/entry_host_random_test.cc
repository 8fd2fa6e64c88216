#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

#include "misc/measure/host_world.h"

namespace teaselrudder {

namespace {

using model::CallerOutcome;
using model::HostWorld;
using model::WorldOptions;

constexpr std::size_t kSessions = 4;
const std::string kKey = "k";

/// A request of the random run and what the naive model knows of it.
struct Sent {
  std::size_t number = 0;
  std::size_t session = 0;
  std::size_t host = 0;
  /// How often the host had been killed when the request was sent.
  std::size_t kills_before = 0;
  /// The text that a write appends; empty for a read.
  std::string mark;
  Freshness freshness = Freshness::kFresh;
  /// Marks that the read must contain.
  std::set<std::string> required;
  bool checked = false;
};

/// Drives a world with random requests and faults beside a naive model: a list of the writes that were acknowledged.
class RandomRun {
 public:
  explicit RandomRun(std::uint64_t seed) : m_random(seed), m_world(options(seed)) { m_world.wait_until_ready(); }

  void run() {
    for (int round = 0; round < 120; ++round) {
      inject_fault();
      send_requests();
      m_world.run_for(std::chrono::milliseconds(pick(200)));
      collect();
    }
    heal();
    m_world.run_for(std::chrono::seconds(20));
    collect();
    check_end();
  }

 private:
  static WorldOptions options(std::uint64_t seed) {
    WorldOptions options;
    options.seed = seed;
    return options;
  }

  std::size_t pick(std::size_t count) { return m_random() % count; }

  void inject_fault() {
    const std::size_t host = pick(m_world.hosts());
    const std::size_t member = pick(3);
    switch (pick(24)) {
      case 0:
        m_world.kill_host(host);
        m_world.start_host(host);
        ++m_kills[host];
        break;
      case 1:
        m_world.pause_host(host, std::chrono::milliseconds(pick(3000)));
        break;
      case 2:
        // At most one member is down, as a majority has to be there for anything to be served.
        heal_members();
        m_world.set_member_up(member, false);
        break;
      case 3:
        heal_members();
        break;
      case 4:
        m_world.make_connections_unresponsive(member);
        break;
      case 5:
        m_world.isolate(member, true);
        break;
      case 6:
      case 7:
        heal_cuts();
        break;
      case 8:
        m_world.set_replication_delay(member, std::chrono::milliseconds(pick(300)));
        break;
      case 9:
        m_world.set_service_time(std::chrono::milliseconds(1 + pick(30)));
        break;
      default:
        break;
    }
  }

  void send_requests() {
    for (std::size_t count = pick(4); count > 0; --count) {
      Sent sent;
      sent.session = pick(kSessions);
      if (is_waiting(sent.session)) {
        continue;  // A session sends its next request with the token of the last answer.
      }
      const std::size_t host = pick(m_world.hosts());
      sent.host = host;
      sent.kills_before = m_kills[host];
      Request request;
      if (pick(2) == 0) {
        sent.mark = std::to_string(m_sent.size()) + ";";
        request = HostWorld::write_request(kKey, sent.mark);
      } else {
        sent.freshness = pick(2) == 0 ? Freshness::kFresh : Freshness::kOwnWrites;
        request = HostWorld::read_request(kKey, sent.freshness);
        sent.required = sent.freshness == Freshness::kFresh ? m_acknowledged : m_session_writes[sent.session];
      }
      request.token = m_tokens[sent.session];
      sent.number = m_world.submit(host, request);
      m_waiting[sent.session] = m_sent.size();
      m_sent.push_back(std::move(sent));
    }
  }

  // A killed host answers nobody; its callers see their connections close.
  bool was_lost(const Sent& sent) { return m_kills[sent.host] != sent.kills_before; }

  bool is_waiting(std::size_t session) {
    const auto found = m_waiting.find(session);
    return found != m_waiting.end() && !m_sent[found->second].checked && !was_lost(m_sent[found->second]);
  }

  void collect() {
    for (Sent& sent : m_sent) {
      const std::optional<CallerOutcome>& outcome = m_world.outcome(sent.number);
      if (sent.checked || !outcome.has_value() || was_lost(sent)) {
        continue;
      }
      sent.checked = true;
      if (!outcome->has_value()) {
        on_refused(sent, outcome->error());
        continue;
      }
      m_tokens[sent.session] = (*outcome)->token;
      if (sent.mark.empty()) {
        check_read(sent, (*outcome)->results.at(0).rows.at(0).at(0).value());
        continue;
      }
      ++m_writes_served;
      m_acknowledged.insert(sent.mark);
      m_session_writes[sent.session].insert(sent.mark);
    }
  }

  void on_refused(const Sent& sent, const CallerRefusal& refused) {
    if (!refused.token.empty()) {
      m_tokens[sent.session] = refused.token;
    }
    if (sent.mark.empty()) {
      return;
    }
    if (refused.refusal.ran == Ran::kNo) {
      m_not_run.insert(sent.mark);
    }
    if (refused.refusal.ran == Ran::kYes) {
      m_acknowledged.insert(sent.mark);
      m_session_writes[sent.session].insert(sent.mark);
    }
  }

  static std::map<std::string, int> marks_in(const std::string& value) {
    std::map<std::string, int> marks;
    std::size_t begin = 0;
    for (std::size_t end = value.find(';'); end != std::string::npos; end = value.find(';', begin)) {
      ++marks[value.substr(begin, end - begin + 1)];
      begin = end + 1;
    }
    return marks;
  }

  static void check_read(const Sent& sent, const std::string& value) {
    const std::map<std::string, int> marks = marks_in(value);
    for (const std::string& mark : sent.required) {
      RC_ASSERT(marks.contains(mark));
    }
  }

  void heal_members() {
    for (std::size_t member = 0; member < 3; ++member) {
      m_world.set_member_up(member, true);
    }
  }

  void heal_cuts() {
    for (std::size_t domain = 0; domain < 3; ++domain) {
      m_world.isolate(domain, false);
    }
  }

  void heal() {
    heal_members();
    heal_cuts();
    for (std::size_t member = 0; member < 3; ++member) {
      m_world.set_replication_delay(member, Duration(0));
    }
    m_world.set_service_time(std::chrono::milliseconds(1));
  }

  void check_end() {
    RC_ASSERT(m_world.primary().has_value());
    for (const Sent& sent : m_sent) {
      RC_ASSERT(sent.checked || was_lost(sent));
    }
    const std::map<std::string, int> stored = marks_in(m_world.stored(*m_world.primary(), kKey));
    for (const auto& [mark, count] : stored) {
      RC_ASSERT(count == 1);
    }
    for (const std::string& mark : m_acknowledged) {
      RC_ASSERT(stored.contains(mark));
    }
    for (const std::string& mark : m_not_run) {
      RC_ASSERT(!stored.contains(mark));
    }
    RC_ASSERT(m_writes_served > 0);
  }

  std::mt19937_64 m_random;
  HostWorld m_world;
  std::vector<Sent> m_sent;
  std::map<std::size_t, std::size_t> m_kills;
  std::map<std::size_t, std::size_t> m_waiting;
  std::map<std::size_t, std::string> m_tokens;
  std::set<std::string> m_acknowledged;
  std::map<std::size_t, std::set<std::string>> m_session_writes;
  std::set<std::string> m_not_run;
  std::size_t m_writes_served = 0;
};

class EntryHostRandomTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EntryHostRandomTest);
  CPPUNIT_TEST(keeps_the_guarantees_under_random_faults);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against lost, doubled or falsely refused writes and against stale reads under combined faults.
  void keeps_the_guarantees_under_random_faults() {
    const bool holds = rc::check([](std::uint64_t seed) { RandomRun(seed).run(); });
    CPPUNIT_ASSERT(holds);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryHostRandomTest);

}  // namespace

}  // namespace teaselrudder
