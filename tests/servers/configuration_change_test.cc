#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <nlohmann/json.hpp>

#include "misc/measure/host_world.h"

namespace teaselrudder {

namespace {

using model::HostWorld;
using model::StoreModel;
using model::WorldOptions;
using Json = nlohmann::json;

constexpr Duration kPropagationLimit = std::chrono::seconds(3);

std::string deadline_command(std::uint64_t seconds) {
  return "SET SERVICE s DEADLINE " + std::to_string(seconds) + "s";
}

std::uint64_t deadline_of(const Configuration& configuration) {
  return static_cast<std::uint64_t>(to_milliseconds(configuration.services.at(ServiceName("s")).deadline)) / 1000;
}

class ConfigurationChangeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigurationChangeTest);
  CPPUNIT_TEST(change_reaches_all_hosts_in_time);
  CPPUNIT_TEST(silent_watches_do_not_delay_changes);
  CPPUNIT_TEST(hosts_announce_new_versions_immediately);
  CPPUNIT_TEST(failed_watches_are_restarted);
  CPPUNIT_TEST(changes_are_refused_while_the_store_is_down);
  CPPUNIT_TEST(slow_store_never_causes_a_wrong_answer);
  CPPUNIT_TEST(lost_answers_are_resolved_by_the_change_id);
  CPPUNIT_TEST(conflicting_change_is_refused_with_both_versions);
  CPPUNIT_TEST(restarted_host_learns_from_peers_while_the_store_is_down);
  CPPUNIT_TEST(isolated_failure_domain_catches_up);
  CPPUNIT_TEST(malformed_document_is_ignored);
  CPPUNIT_TEST(drained_host_stops);
  CPPUNIT_TEST(checked_change_is_not_applied);
  CPPUNIT_TEST(queries_filter_their_rows);
  CPPUNIT_TEST(configuration_that_a_restored_store_has_lost_is_written_back);
  CPPUNIT_TEST(random_changes_match_the_accepted_changes);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { start(1); }

  // Guards against a version that is adopted only by the host that made the change.
  void change_reaches_all_hosts_in_time() {
    const Json answer = run(3, deadline_command(20));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, answer.at("version").get<std::uint64_t>());
    CPPUNIT_ASSERT(wait_for_all(2));
    // A host probes one host of another failure domain every five seconds, so it takes longer to know all versions.
    m_world->run_for(std::chrono::minutes(3));
    for (std::size_t host = 0; host < m_world->hosts(); ++host) {
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{20}, deadline_of(m_world->host(host).configuration()));
      CPPUNIT_ASSERT_EQUAL(m_world->hosts(), run(host, "SHOW VERSIONS").at("rows").size());
    }
  }

  // Guards against a relay that relies on a watch that no longer reports changes. The change is written directly to the
  // store, as if its host had failed before announcing it.
  void silent_watches_do_not_delay_changes() {
    m_world->store().silent_watches = true;
    Configuration changed = m_world->host(0).configuration();
    changed.version = ConfigurationVersion(2);
    m_world->store().put(configuration_to_json(changed));
    CPPUNIT_ASSERT(wait_for_all(2));
  }

  // Guards against a version that spreads only through periodic probes and reads. Each host accepts one change.
  void hosts_announce_new_versions_immediately() {
    m_world->store().silent_watches = true;
    for (std::size_t host = 0; host < m_world->hosts(); ++host) {
      const Json answer = run(host, deadline_command(20 + host));
      CPPUNIT_ASSERT(wait_for_all(answer.at("version").get<std::uint64_t>(), std::chrono::milliseconds(100)));
    }
  }

  // Guards against a relay that stops watching after a failure, or that retries without delay.
  void failed_watches_are_restarted() {
    for (int round = 0; round < 5; ++round) {
      m_world->fail_watches();
      m_world->run_for(std::chrono::milliseconds(100));
    }
    m_world->run_for(std::chrono::seconds(10));
    CPPUNIT_ASSERT(m_world->store().reads < 100);
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, m_world->open_watches());
    m_world->store().put(configuration_to_json(next_version()));
    CPPUNIT_ASSERT(wait_for_all(2));
  }

  // Guards against adopting a change that the store did not accept.
  void changes_are_refused_while_the_store_is_down() {
    m_world->store().down = true;
    const Json error = run(0, deadline_command(20)).at("error");
    CPPUNIT_ASSERT_EQUAL(std::string("store_unavailable"), error.at("reason").get<std::string>());
    CPPUNIT_ASSERT_EQUAL(std::string("no"), error.at("ran").get<std::string>());
    m_world->run_for(kPropagationLimit);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_world->host(0).configuration().version.value());
    m_world->store().down = false;
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, run(0, deadline_command(20)).at("version").get<std::uint64_t>());
  }

  // Guards against answering `ran: no` for a write that takes effect later. With the different delays the deadline
  // passes at different steps of a change.
  void slow_store_never_causes_a_wrong_answer() {
    for (const int delay_ms : {500, 1500, 2000, 4000}) {
      start(1);
      m_world->store().delay = std::chrono::milliseconds(delay_ms);
      const Json answer = run(0, deadline_command(20));
      m_world->run_for(std::chrono::seconds(20));
      const bool took_effect = stored_version() == 2;
      if (answer.contains("error")) {
        CPPUNIT_ASSERT(!took_effect || answer.at("error").at("ran") == "unknown");
      } else {
        CPPUNIT_ASSERT(took_effect);
      }
      CPPUNIT_ASSERT_EQUAL(stored_version(), m_world->host(0).configuration().version.value());
    }
  }

  // Guards against treating a lost answer as a failure, and against applying a change twice.
  void lost_answers_are_resolved_by_the_change_id() {
    for (const auto fault : {StoreModel::WriteFault::kLostBefore, StoreModel::WriteFault::kLostAfter}) {
      for (int failing_reads = 0; failing_reads < 3; ++failing_reads) {
        start(1);
        const std::size_t number = m_world->command(0, deadline_command(20));
        m_world->store().next_write = fault;
        m_world->run_until([&] { return m_world->store().writes > 0; }, kPropagationLimit);
        m_world->store().failing_reads = failing_reads;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, wait_for_answer(number).at("version").get<std::uint64_t>());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, stored_version());
        CPPUNIT_ASSERT(wait_for_all(2));
      }
    }
  }

  // Guards against a change that silently overwrites a concurrent change of another operator.
  void conflicting_change_is_refused_with_both_versions() {
    const std::size_t first = m_world->command(0, deadline_command(20));
    const std::size_t second = m_world->command(5, deadline_command(30));
    const bool first_won = wait_for_answer(first).contains("version");
    CPPUNIT_ASSERT(first_won != wait_for_answer(second).contains("version"));
    const Json error = wait_for_answer(first_won ? second : first).at("error");
    CPPUNIT_ASSERT_EQUAL(std::string("configuration_conflict"), error.at("reason").get<std::string>());
    CPPUNIT_ASSERT_EQUAL(1, error.at("based_on_version").get<int>());
    CPPUNIT_ASSERT_EQUAL(2, error.at("present_version").get<int>());
    CPPUNIT_ASSERT(run(0, "BASED ON VERSION 1 " + deadline_command(40)).contains("error"));
  }

  // Guards against a restarted host that waits for the store, or later adopts an older version from it.
  void restarted_host_learns_from_peers_while_the_store_is_down() {
    run(0, deadline_command(20));
    CPPUNIT_ASSERT(wait_for_all(2));
    m_world->store().down = true;
    m_world->kill_host(3);
    m_world->run_for(std::chrono::seconds(1));
    m_world->start_host(3);
    CPPUNIT_ASSERT(wait_for_all(2));
    m_world->store().put(configuration_to_json(m_world->configuration()));
    m_world->store().down = false;
    const auto any_version_changed = [&] {
      for (std::size_t host = 0; host < m_world->hosts(); ++host) {
        if (m_world->host(host).configuration().version.value() != 2) {
          return true;
        }
      }
      return false;
    };
    CPPUNIT_ASSERT(!m_world->run_until(any_version_changed, std::chrono::seconds(15)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, stored_version());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, run(3, deadline_command(30)).at("version").get<std::uint64_t>());
    CPPUNIT_ASSERT(wait_for_all(3));
  }

  // Guards against changes that are refused, or confirmed and never in force, because the store was restored from a
  // copy that is older than the configuration of the hosts.
  void configuration_that_a_restored_store_has_lost_is_written_back() {
    const StoreValue copy = m_world->store().value();
    run(0, deadline_command(20));
    run(1, deadline_command(30));
    CPPUNIT_ASSERT(wait_for_all(3));
    m_world->store().restore(copy);
    CPPUNIT_ASSERT(m_world->run_until([&] { return stored_version() == 3; }, kPropagationLimit));
    m_world->store().restore(StoreValue{std::nullopt, StoreRevision(0), StoreRevision(1)});
    CPPUNIT_ASSERT(m_world->run_until([&] { return m_world->store().value().value.has_value(); }, kPropagationLimit));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, run(2, deadline_command(40)).at("version").get<std::uint64_t>());
    CPPUNIT_ASSERT(wait_for_all(4));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{40}, deadline_of(m_world->host(5).configuration()));
  }

  // Guards against a failure domain that keeps an old version after a network partition has ended while the store is
  // down.
  void isolated_failure_domain_catches_up() {
    m_world->isolate(2, true);
    m_world->store().silent_watches = true;
    const std::size_t number = m_world->command(0, deadline_command(20));
    m_world->run_until([&] { return m_world->operator_answer(number).has_value(); }, kPropagationLimit);
    m_world->store().down = true;
    m_world->run_for(std::chrono::seconds(6));
    m_world->isolate(2, false);
    m_world->run_for(std::chrono::seconds(6));
    CPPUNIT_ASSERT(wait_for_all(2));
  }

  // Guards against a host that discards its configuration because of a malformed document.
  void malformed_document_is_ignored() {
    for (const char* const document : {"", "{", "[]", "{\"version\": 9}", "null"}) {
      m_world->store().put(document);
      m_world->run_for(kPropagationLimit);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_world->host(0).configuration().version.value());
    }
    const Json error = run(0, deadline_command(20)).at("error");
    CPPUNIT_ASSERT_EQUAL(std::string("configuration_invalid"), error.at("reason").get<std::string>());
    std::uint64_t rejected = 0;
    for (std::size_t host = 0; host < m_world->hosts(); ++host) {
      rejected += m_world->counters(host).value("configurations_rejected");
    }
    CPPUNIT_ASSERT(rejected > 0);
  }

  // Guards against a drained host that keeps serving, and against stopping a host that is not drained.
  void drained_host_stops() {
    run(0, "DRAIN HOST h3");
    CPPUNIT_ASSERT(wait_for_all(2));
    m_world->run_for(std::chrono::seconds(3));
    CPPUNIT_ASSERT(m_world->host(3).planned_stop().stopped());
    CPPUNIT_ASSERT(m_world->host(2).planned_stop().healthy());
  }

  // Guards against a check that writes to the store, and against a change without differences that creates a version.
  void checked_change_is_not_applied() {
    const Json checked = wait_for_answer(m_world->command(0, deadline_command(20), true));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, checked.at("difference").size());
    CPPUNIT_ASSERT(!checked.at("applied").get<bool>());
    CPPUNIT_ASSERT(!run(0, deadline_command(10)).at("applied").get<bool>());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, m_world->store().writes);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, stored_version());
  }

  // Guards against filters that select the wrong rows, and against a crash on invalid UTF-8.
  void queries_filter_their_rows() {
    m_world->run_for(std::chrono::seconds(5));
    for (const char* const what : {"HOSTS", "GROUPS", "UPSTREAMS", "SERVICES", "REFUSALS", "RETRIES", "CONFIGURATION",
                                   "VERSIONS", "DECISIONS"}) {
      CPPUNIT_ASSERT_MESSAGE(what, !run(0, std::string("SHOW ") + what).at("rows").empty());
    }
    CPPUNIT_ASSERT(run(0, "SHOW QUEUES").contains("rows"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, run(0, "SHOW HOSTS WHERE failure_domain = d1").at("rows").size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, run(0, "SHOW UPSTREAMS OF g/m1").at("rows").size());
    const Json error = run(0, "SHOW HOSTS WHERE colour = red").at("error");
    CPPUNIT_ASSERT_EQUAL(18, error.at("column").get<int>());
    CPPUNIT_ASSERT(run(0, "SHOW HOSTS OF '\xff'").at("rows").empty());
    CPPUNIT_ASSERT(run(0, "DROP SERVICE \xff").contains("error"));
  }

  // Guards against lost, duplicated, reordered or reverted changes under random combinations of faults.
  void random_changes_match_the_accepted_changes() {
    const bool passed = rc::check("document equals the accepted changes", [this] {
      start(*rc::gen::inRange(1, 100000));
      m_world->store().loss = *rc::gen::element(0.0, 0.1, 0.4);
      const int steps = *rc::gen::inRange(5, 25);
      std::map<std::size_t, std::uint64_t> commands;
      std::vector<std::uint64_t> highest(m_world->hosts(), 0);
      for (int step = 0; step < steps; ++step) {
        apply_random_step(step, commands);
        m_world->run_for(std::chrono::milliseconds(*rc::gen::element(0, 1, 5, 100, 1000)));
        check_versions_never_decrease(highest);
      }
      end_faults();
      m_world->run_for(std::chrono::seconds(10));
      check_accepted(commands);
      const Json last = run(0, deadline_command(500));
      RC_ASSERT(last.contains("version"));
      RC_ASSERT(wait_for_all(last.at("version").get<std::uint64_t>()));
    });
    CPPUNIT_ASSERT(passed);
  }

 private:
  void start(std::uint64_t seed) {
    WorldOptions options;
    options.seed = seed;
    options.configure_hosts = false;
    m_world = std::make_unique<HostWorld>(options);
    m_world->run_for(std::chrono::seconds(2));
  }

  Configuration next_version() {
    Configuration changed = m_world->host(0).configuration();
    changed.version = ConfigurationVersion(changed.version.value() + 1);
    return changed;
  }

  std::uint64_t stored_version() const {
    return configuration_from_json(m_world->store().value().value.value()).value().version.value();
  }

  Json wait_for_answer(std::size_t number) {
    m_world->run_until([&] { return m_world->operator_answer(number).has_value(); }, std::chrono::seconds(10));
    CPPUNIT_ASSERT(m_world->operator_answer(number).has_value());
    return Json::parse(m_world->operator_answer(number)->json);
  }

  Json run(std::size_t host, const std::string& text) { return wait_for_answer(m_world->command(host, text)); }

  // Waits until the current version of all running hosts is `version`. Returns false after `limit`.
  bool wait_for_all(std::uint64_t version, Duration limit = kPropagationLimit) {
    const auto all_have = [&] {
      for (std::size_t host = 0; host < m_world->hosts(); ++host) {
        if (m_world->alive(host) && m_world->host(host).configuration().version.value() != version) {
          return false;
        }
      }
      return true;
    };
    return m_world->run_until(all_have, limit);
  }

  void apply_random_step(int step, std::map<std::size_t, std::uint64_t>& commands) {
    const auto host = *rc::gen::inRange<std::size_t>(0, m_world->hosts());
    switch (*rc::gen::inRange(0, 10)) {
      case 0:
        m_world->store().down = !m_world->store().down;
        break;
      case 1:
        m_world->store().delay = std::chrono::milliseconds(*rc::gen::element(1, 20, 700));
        break;
      case 2:
        m_world->isolate(host / 2, *rc::gen::arbitrary<bool>());
        break;
      case 3:
        if (m_world->alive(host)) {
          m_world->kill_host(host);
        } else {
          m_world->start_host(host);
        }
        break;
      case 4:
        m_world->fail_watches();
        break;
      default:
        if (m_world->alive(host)) {
          const std::uint64_t value = 20 + static_cast<std::uint64_t>(step);
          commands[m_world->command(host, deadline_command(value))] = value;
        }
        break;
    }
  }

  void end_faults() {
    m_world->store().down = false;
    m_world->store().loss = 0;
    m_world->store().delay = std::chrono::milliseconds(2);
    for (std::size_t host = 0; host < m_world->hosts(); ++host) {
      m_world->isolate(host / 2, false);
      if (!m_world->alive(host)) {
        m_world->start_host(host);
      }
    }
  }

  void check_versions_never_decrease(std::vector<std::uint64_t>& highest) {
    for (std::size_t host = 0; host < m_world->hosts(); ++host) {
      const bool alive = m_world->alive(host);
      const std::uint64_t version = alive ? m_world->host(host).configuration().version.value() : 0;
      RC_ASSERT(!alive || version == 0 || version <= stored_version());
      RC_ASSERT(!alive || version == 0 || version >= highest[host]);
      highest[host] = version;
    }
  }

  // Checks that the document contains exactly the accepted changes, in the order of their versions, apart from changes
  // with an unknown outcome.
  void check_accepted(const std::map<std::size_t, std::uint64_t>& commands) {
    const Configuration document = configuration_from_json(m_world->store().value().value.value()).value();
    std::map<std::uint64_t, std::pair<std::string, std::uint64_t>> accepted;
    std::size_t open_or_unknown = 0;
    for (const auto& [number, value] : commands) {
      const auto& answer = m_world->operator_answer(number);
      const Json json = answer.has_value() ? Json::parse(answer->json) : Json::object();
      if (json.contains("version") && json.at("applied").get<bool>()) {
        const auto change = std::make_pair(json.at("change_id").get<std::string>(), value);
        RC_ASSERT(accepted.emplace(json.at("version").get<std::uint64_t>(), change).second);
      } else if (!answer.has_value() || (json.contains("error") && json.at("error").at("ran") == "unknown")) {
        ++open_or_unknown;
      }
    }
    const std::uint64_t changes = document.version.value() - 1;
    RC_ASSERT(document.recent_changes.size() == changes);
    RC_ASSERT(accepted.size() <= changes);
    RC_ASSERT(changes <= accepted.size() + open_or_unknown);
    for (const auto& [version, change] : accepted) {
      RC_ASSERT(document.recent_changes.at(version - 2) == change.first);
    }
    if (accepted.contains(document.version.value())) {
      RC_ASSERT(deadline_of(document) == accepted.rbegin()->second.second);
    }
  }

  std::unique_ptr<HostWorld> m_world;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationChangeTest);

}  // namespace

}  // namespace teaselrudder
