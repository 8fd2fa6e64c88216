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

/// A request of the random run, with the expectations about its outcome.
struct SentRequest {
  std::size_t number = 0;
  std::size_t session = 0;
  std::size_t host = 0;
  /// How often the host had been killed when the request was sent.
  std::size_t kills_before = 0;
  /// The text that a write appends, unique in the run. Empty for a read.
  std::string text;
  Freshness freshness = Freshness::kFresh;
  /// Texts of earlier writes that the read must return.
  std::set<std::string> required;
  bool checked = false;
};

/// Sends random requests and injects random faults under virtual time, and checks the outcomes against a simple model:
/// the sets of writes that were acknowledged and of those that were reported as not run.
class RandomRun {
 public:
  explicit RandomRun(std::uint64_t seed) : m_random(seed), m_world(options(seed)) { m_world.wait_until_ready(); }

  void run() {
    for (int round = 0; round < 120; ++round) {
      inject_fault();
      send_requests();
      m_world.run_for(std::chrono::milliseconds(random_below(200)));
      check_outcomes();
    }
    remove_faults();
    m_world.run_for(std::chrono::seconds(20));
    check_outcomes();
    check_final_state();
  }

 private:
  static WorldOptions options(std::uint64_t seed) {
    WorldOptions options;
    options.seed = seed;
    return options;
  }

  std::size_t random_below(std::size_t count) { return m_random() % count; }

  void inject_fault() {
    const std::size_t host = random_below(m_world.hosts());
    const std::size_t member = random_below(3);
    switch (random_below(24)) {
      case 0:
        m_world.kill_host(host);
        m_world.start_host(host);
        ++m_kills[host];
        break;
      case 1:
        m_world.pause_host(host, std::chrono::milliseconds(random_below(3000)));
        break;
      case 2:
        // At most one member is down at a time, because requests can only be served while a majority is up.
        restart_members();
        m_world.set_member_up(member, false);
        break;
      case 3:
        restart_members();
        break;
      case 4:
        m_world.make_connections_unresponsive(member);
        break;
      case 5:
        m_world.isolate(member, true);
        break;
      case 6:
      case 7:
        reconnect_domains();
        break;
      case 8:
        m_world.set_replication_delay(member, std::chrono::milliseconds(random_below(300)));
        break;
      case 9:
        m_world.set_service_time(std::chrono::milliseconds(1 + random_below(30)));
        break;
      default:
        break;
    }
  }

  void send_requests() {
    for (std::size_t count = random_below(4); count > 0; --count) {
      SentRequest sent;
      sent.session = random_below(kSessions);
      if (is_waiting(sent.session)) {
        continue;  // The next request of a session needs the token of the last answer.
      }
      const std::size_t host = random_below(m_world.hosts());
      sent.host = host;
      sent.kills_before = m_kills[host];
      Request request;
      if (random_below(2) == 0) {
        sent.text = std::to_string(m_sent.size()) + ";";
        request = HostWorld::write_request(kKey, sent.text);
      } else {
        sent.freshness = random_below(2) == 0 ? Freshness::kFresh : Freshness::kOwnWrites;
        request = HostWorld::read_request(kKey, sent.freshness);
        sent.required = sent.freshness == Freshness::kFresh ? m_acknowledged : m_session_writes[sent.session];
      }
      request.token = m_tokens[sent.session];
      sent.number = m_world.submit(host, request);
      m_waiting[sent.session] = m_sent.size();
      m_sent.push_back(std::move(sent));
    }
  }

  // Returns whether the host was killed after the request was sent to it. Such a request gets no answer.
  bool host_was_killed(const SentRequest& sent) { return m_kills[sent.host] != sent.kills_before; }

  bool is_waiting(std::size_t session) {
    const auto found = m_waiting.find(session);
    return found != m_waiting.end() && !m_sent[found->second].checked && !host_was_killed(m_sent[found->second]);
  }

  void check_outcomes() {
    for (SentRequest& sent : m_sent) {
      const std::optional<CallerOutcome>& outcome = m_world.outcome(sent.number);
      if (sent.checked || !outcome.has_value() || host_was_killed(sent)) {
        continue;
      }
      sent.checked = true;
      if (!outcome->has_value()) {
        on_refused(sent, outcome->error());
        continue;
      }
      m_tokens[sent.session] = (*outcome)->token;
      if (sent.text.empty()) {
        check_read(sent, (*outcome)->results.at(0).rows.at(0).at(0).value());
        continue;
      }
      ++m_writes_served;
      m_acknowledged.insert(sent.text);
      m_session_writes[sent.session].insert(sent.text);
    }
  }

  void on_refused(const SentRequest& sent, const CallerRefusal& refused) {
    if (!refused.token.empty()) {
      m_tokens[sent.session] = refused.token;
    }
    if (sent.text.empty()) {
      return;
    }
    if (refused.refusal.ran == Ran::kNo) {
      m_reported_not_run.insert(sent.text);
    }
    if (refused.refusal.ran == Ran::kYes) {
      m_acknowledged.insert(sent.text);
      m_session_writes[sent.session].insert(sent.text);
    }
  }

  static std::map<std::string, int> texts_in(const std::string& value) {
    std::map<std::string, int> texts;
    std::size_t begin = 0;
    for (std::size_t end = value.find(';'); end != std::string::npos; end = value.find(';', begin)) {
      ++texts[value.substr(begin, end - begin + 1)];
      begin = end + 1;
    }
    return texts;
  }

  static void check_read(const SentRequest& sent, const std::string& value) {
    const std::map<std::string, int> texts = texts_in(value);
    for (const std::string& text : sent.required) {
      RC_ASSERT(texts.contains(text));
    }
  }

  void restart_members() {
    for (std::size_t member = 0; member < 3; ++member) {
      m_world.set_member_up(member, true);
    }
  }

  void reconnect_domains() {
    for (std::size_t domain = 0; domain < 3; ++domain) {
      m_world.isolate(domain, false);
    }
  }

  void remove_faults() {
    restart_members();
    reconnect_domains();
    for (std::size_t member = 0; member < 3; ++member) {
      m_world.set_replication_delay(member, Duration(0));
    }
    m_world.set_service_time(std::chrono::milliseconds(1));
  }

  void check_final_state() {
    RC_ASSERT(m_world.primary().has_value());
    for (const SentRequest& sent : m_sent) {
      RC_ASSERT(sent.checked || host_was_killed(sent));
    }
    const std::map<std::string, int> stored = texts_in(m_world.stored(*m_world.primary(), kKey));
    for (const auto& [text, count] : stored) {
      RC_ASSERT(count == 1);
    }
    for (const std::string& text : m_acknowledged) {
      RC_ASSERT(stored.contains(text));
    }
    for (const std::string& text : m_reported_not_run) {
      RC_ASSERT(!stored.contains(text));
    }
    RC_ASSERT(m_writes_served > 0);
  }

  std::mt19937_64 m_random;
  HostWorld m_world;
  std::vector<SentRequest> m_sent;
  std::map<std::size_t, std::size_t> m_kills;
  std::map<std::size_t, std::size_t> m_waiting;
  std::map<std::size_t, std::string> m_tokens;
  std::set<std::string> m_acknowledged;
  std::map<std::size_t, std::set<std::string>> m_session_writes;
  std::set<std::string> m_reported_not_run;
  std::size_t m_writes_served = 0;
};

class EntryHostRandomTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EntryHostRandomTest);
  CPPUNIT_TEST(keeps_the_guarantees_under_random_faults);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against stale reads, and writes that are lost, executed twice or wrongly reported as not run, under
  // combinations of killed and paused hosts, failed members, dead connections, isolated failure domains and slow
  // replication.
  void keeps_the_guarantees_under_random_faults() {
    const bool holds = rc::check([](std::uint64_t seed) { RandomRun(seed).run(); });
    CPPUNIT_ASSERT(holds);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryHostRandomTest);

}  // namespace

}  // namespace teaselrudder
