#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <thread>

#include "tests/drivers/http/test_client.h"
#include "tests/main/child_process.h"

namespace teaselrudder {

namespace {

using Json = nlohmann::json;
using testing::ChildProcess;
using testing::exchange_http;
using testing::TestConnection;
using testing::TestResponse;

constexpr std::size_t kHosts = 3;
constexpr std::size_t kClients = 4;
constexpr int kRequestsPerClient = 100;
const std::array<std::string, kHosts> kDomains = {"toledo", "detroit", "cleveland"};
/// Longest time for which a failover may interrupt writes.
constexpr std::chrono::seconds kFailoverBound(7);
const std::string kStatements = "/v1/services/rooms/statements";

Json statement(const std::string& sql, const std::vector<std::string>& parameters) {
  return {{"sql", sql}, {"params", parameters}};
}

Json append_statement(const std::string& key, const std::string& marker) {
  return statement("UPDATE kv SET value = value || $2 WHERE key = $1", {key, marker});
}

/// Tests with a store, three members and three daemons, each a process of its own.
class ProcessesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProcessesTest);
  CPPUNIT_TEST(transaction_continues_through_other_daemons);
  CPPUNIT_TEST(killed_daemon_leaves_no_part_of_a_transaction);
  CPPUNIT_TEST(writes_resume_after_a_frozen_owner_and_a_killed_primary);
  CPPUNIT_TEST(rolling_stop_under_load_cuts_off_no_request);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_store = std::make_unique<ChildProcess>("store_stand_in", std::vector<std::string>());
    m_store_port = m_store->read_port("port");
    std::string command = "SET GROUP ripening";
    for (std::size_t index = 0; index < kHosts; ++index) {
      m_members[index] = std::make_unique<ChildProcess>("database_member", std::vector<std::string>());
      command += " MEMBER " + kDomains[index] + " AT 127.0.0.1:" + std::to_string(m_members[index]->read_port("port")) +
                 " IN " + kDomains[index] + " SLOTS 3 CONNECTIONS 20";
    }
    command += "; SET SERVICE rooms GROUP ripening FRESHNESS own_writes URGENCY urgent DEADLINE 60s";
    for (std::size_t index = 0; index < kHosts; ++index) {
      start_host(index);
    }
    const TestResponse configured =
        exchange_http(m_hosts[0]->read_port("operator"), "POST", "/v1/commands", Json{{"command", command}}.dump());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(configured.body, 200, configured.status);
    for (std::size_t index = 0; index < kHosts; ++index) {
      wait_until_configured(index);
    }
    request(0, kStatements,
            {{"statements",
              {statement("INSERT INTO kv (key, value) VALUES ($1, $2) "
                         "ON CONFLICT (key) DO UPDATE SET value = excluded.value",
                         {"k", ""})}}});
  }

  void tearDown() override {
    for (std::size_t index = 0; index < kHosts; ++index) {
      m_hosts[index].reset();
      m_members[index].reset();
    }
    m_store.reset();
  }

  // Guards against a transaction that can only be continued through the daemon that opened it.
  void transaction_continues_through_other_daemons() {
    const std::string handle = begin(0, "a");
    const std::string path = "/v1/transactions/" + handle;
    request(1, path + "/statements", {{"statements", {append_statement("k", "b")}}});
    const Json committed = request(2, path + "/commit", Json::object());
    CPPUNIT_ASSERT_EQUAL(std::string("ab"), read_value(1, committed.at("token")));
  }

  // Guards against partial changes of a transaction that remain after the daemon that held it was killed.
  void killed_daemon_leaves_no_part_of_a_transaction() {
    const std::string handle = begin(0, "a");
    // The handle begins with the name of the host that holds the transaction.
    const std::size_t holder = std::stoul(handle.substr(4, 1));
    m_hosts[holder]->send_signal(SIGKILL);
    m_hosts[holder]->wait();
    const std::size_t other = (holder + 1) % kHosts;
    const TestResponse refused =
        exchange_http(caller_port(other), "POST", "/v1/transactions/" + handle + "/commit", "{}");
    CPPUNIT_ASSERT(refused.status != 200);
    CPPUNIT_ASSERT(Json::parse(refused.body).at("refusal").at("ran") != "yes");
    CPPUNIT_ASSERT_EQUAL(std::string(), read_value(other, ""));
  }

  // Guards against writes that wait until their deadline for the frozen daemon of their failure domain that owns the
  // group, after the primary was lost as well.
  void writes_resume_after_a_frozen_owner_and_a_killed_primary() {
    const std::string primary = write(0, "a").at("served_by");
    const auto index =
        static_cast<std::size_t>(std::find(kDomains.begin(), kDomains.end(), primary) - kDomains.begin());
    ChildProcess second("teaselrudderd", daemon_arguments("second", primary, std::nullopt));
    const std::uint16_t second_port = second.read_port("caller");
    std::string owner;
    while (owner != "second" && owner != name_of(index)) {
      const TestResponse groups =
          exchange_http(second.read_port("operator"), "POST", "/v1/commands", Json{{"command", "SHOW GROUPS"}}.dump());
      owner = owner_in(groups.body);
    }
    const bool second_owns = owner == "second";
    (second_owns ? second : *m_hosts.at(index)).send_signal(SIGSTOP);
    m_members.at(index)->send_signal(SIGKILL);
    const auto lost_at = std::chrono::steady_clock::now();
    const std::string body = Json{{"statements", {append_statement("k", "b")}}}.dump();
    const std::uint16_t port = second_owns ? caller_port(index) : second_port;
    while (exchange_http(port, "POST", kStatements, body).status != 200) {
      CPPUNIT_ASSERT(std::chrono::steady_clock::now() < lost_at + kFailoverBound);
    }
    const auto gap = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - lost_at);
    std::printf("writes resumed after %s ms\n", std::to_string(gap.count()).c_str());
    CPPUNIT_ASSERT(gap < kFailoverBound);
    m_hosts.at(index)->send_signal(SIGCONT);
  }

  // Guards against a request that is interrupted, lost or executed twice while all hosts are replaced one by one.
  void rolling_stop_under_load_cuts_off_no_request() {
    std::vector<std::thread> clients;
    std::atomic<int> failures{0};
    for (std::size_t client = 0; client < kClients; ++client) {
      clients.emplace_back([&, client] { failures += run_client(client); });
    }
    for (std::size_t index = 0; index < kHosts; ++index) {
      m_hosts[index]->send_signal(SIGTERM);
      const int exit_code = m_hosts[index]->wait();
      start_host(index);
      wait_until_configured(index);
      CPPUNIT_ASSERT_EQUAL(0, exit_code);
    }
    m_all_hosts_replaced = true;
    for (std::thread& client : clients) {
      client.join();
    }
    CPPUNIT_ASSERT_EQUAL(0, failures.load());
    const std::string value = read_value(0, "");
    const std::lock_guard<std::mutex> lock(m_mutex);
    CPPUNIT_ASSERT(m_acknowledged.size() >= kClients * kRequestsPerClient);
    std::size_t length = 0;
    for (const std::string& marker : m_acknowledged) {
      CPPUNIT_ASSERT(value.find(marker) != std::string::npos);
      length += marker.size();
    }
    CPPUNIT_ASSERT_EQUAL(length, value.size());
  }

 private:
  static std::string name_of(std::size_t index) { return "host" + std::to_string(index); }

  // Returns the arguments of a daemon that knows the running ones, `left_out` excepted.
  std::vector<std::string> daemon_arguments(const std::string& name, const std::string& domain,
                                            std::optional<std::size_t> left_out) {
    std::string known;
    for (std::size_t other = 0; other < kHosts; ++other) {
      if (other != left_out && m_hosts[other] != nullptr) {
        known += (known.empty() ? "" : ",") + ("127.0.0.1:" + std::to_string(m_hosts[other]->read_port("peer")));
      }
    }
    return {"--host_id=" + name,
            "--failure_domain=" + domain,
            "--store_endpoints=127.0.0.1:" + std::to_string(m_store_port),
            "--log_level=error",
            "--token_key=a key for tests only",
            "--static_hosts=" + known};
  }

  void start_host(std::size_t index) {
    auto host =
        std::make_unique<ChildProcess>("teaselrudderd", daemon_arguments(name_of(index), kDomains[index], index));
    const std::uint16_t port = host->read_port("caller");
    m_hosts[index] = std::move(host);
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_caller_ports[index] = port;
  }

  std::uint16_t caller_port(std::size_t index) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_caller_ports[index];
  }

  void wait_until_configured(std::size_t index) {
    while (exchange_http(caller_port(index), "GET", "/metrics").body.find("configuration_version 1\n") ==
           std::string::npos) {
      std::this_thread::yield();
    }
  }

  Json request(std::size_t host, const std::string& path, const Json& body) {
    const TestResponse response = exchange_http(caller_port(host), "POST", path, body.dump());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(response.body, 200, response.status);
    return Json::parse(response.body);
  }

  // Returns the owner in the answer to SHOW GROUPS; empty if the daemon knows no group yet.
  static std::string owner_in(const std::string& answer) {
    const Json rows = Json::parse(answer).at("rows");
    const bool known = !rows.empty() && rows.at(0).at("owner").is_string();
    return known ? rows.at(0).at("owner").get<std::string>() : std::string();
  }

  Json write(std::size_t host, const std::string& marker) {
    return request(host, kStatements, {{"statements", {append_statement("k", marker)}}});
  }

  std::string begin(std::size_t host, const std::string& marker) {
    const Json begun =
        request(host, "/v1/services/rooms/transactions", {{"statements", {append_statement("k", marker)}}});
    return begun.at("transaction");
  }

  std::string read_value(std::size_t host, const std::string& token) {
    Json body = {{"statements", {statement("SELECT value FROM kv WHERE key = $1", {"k"})}}, {"read_only", true}};
    if (token.empty()) {
      body["freshness"] = "fresh";
    } else {
      body["token"] = token;
    }
    return request(host, kStatements, body).at("results").at(0).at("rows").at(0).at(0);
  }

  // Sends writes to hosts whose health check succeeds, as a load balancer would. Returns the number of failed writes.
  int run_client(std::size_t client) {
    int failures = 0;
    for (int number = 0; number < kRequestsPerClient || !m_all_hosts_replaced; ++number) {
      const std::string marker = "<" + std::to_string(client) + "." + std::to_string(number) + ">";
      const std::string body = Json{{"statements", {append_statement("k", marker)}}}.dump();
      try {
        const TestResponse response = exchange_http(find_healthy_port(client), "POST", kStatements, body);
        if (response.status != 200) {
          std::printf("%s\n", response.body.c_str());
          ++failures;
          continue;
        }
      } catch (const std::exception& error) {
        std::printf("%s\n", error.what());
        ++failures;
        continue;
      }
      const std::lock_guard<std::mutex> lock(m_mutex);
      m_acknowledged.push_back(marker);
    }
    return failures;
  }

  std::uint16_t find_healthy_port(std::size_t first) {
    for (std::size_t index = first;; ++index) {
      const std::uint16_t port = caller_port(index % kHosts);
      TestConnection connection(port);
      try {
        if (connection.connected() && exchange_http(connection, "GET", "/healthz").status == 200) {
          return port;
        }
      } catch (const std::exception&) {
        // The host ended between the connection and the answer; try the next one.
      }
    }
  }

  std::unique_ptr<ChildProcess> m_store;
  std::uint16_t m_store_port = 0;
  std::array<std::unique_ptr<ChildProcess>, kHosts> m_members;
  std::array<std::unique_ptr<ChildProcess>, kHosts> m_hosts;
  std::mutex m_mutex;
  std::array<std::uint16_t, kHosts> m_caller_ports{};
  std::vector<std::string> m_acknowledged;
  std::atomic<bool> m_all_hosts_replaced{false};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProcessesTest);

}  // namespace

}  // namespace teaselrudder
