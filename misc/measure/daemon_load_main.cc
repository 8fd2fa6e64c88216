#include <arpa/inet.h>
#include <gflags/gflags.h>
#include <libpq-fe.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <functional>
#include <iostream>
#include <iterator>
#include <map>
#include <memory>
#include <random>
#include <sstream>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "core/ports/upstream_port.h"
#include "drivers/postgres/member_sql.h"
#include "drivers/postgres/operation_script.h"

DEFINE_string(member_ports, "", "Ports of the members on 127.0.0.1, separated by commas.");
DEFINE_uint32(daemon_port, 0, "Port of the daemon for callers on 127.0.0.1.");
DEFINE_uint32(daemon_pid, 0, "Process id of the daemon.");
DEFINE_string(member_pids, "", "Process ids of the members, separated by commas.");
DEFINE_string(service, "measured", "Service whose statements are measured.");
DEFINE_uint32(count, 2000, "Number of sequential statements of each kind.");
DEFINE_uint32(rounds, 20, "Number of rounds over which the statements of each kind are spread.");
DEFINE_uint32(seconds, 2, "Duration of each run with concurrent connections in seconds.");
DEFINE_uint64(seed, 20261204, "Seed of the random pauses.");
DEFINE_string(connections, "1,8,32", "Numbers of concurrent connections, separated by commas.");

namespace teaselrudder::measure {

namespace {

using SteadyClock = std::chrono::steady_clock;
using Microseconds = std::chrono::duration<double, std::micro>;

/// Timeout of an answer, which ends the measurement if the daemon does not answer.
constexpr int kAnswerTimeoutSeconds = 15;
/// Maximum time for which the first write is repeated until the group has a primary.
constexpr std::chrono::seconds kStartTimeout(20);
constexpr std::chrono::milliseconds kStartRetryInterval(50);
/// Pause before a run, in which replicas catch up and the kernel updates the processor times of the previous run.
constexpr std::chrono::milliseconds kPauseBeforeRun(200);
/// Maximum random pause before a write. It exceeds the interval at which the replicas of the test double fetch log
/// records, so that writes start at all phases of this interval.
constexpr std::chrono::microseconds kMaxPause(5000);

constexpr char kReadSql[] = "SELECT value FROM kv WHERE key = $1";
constexpr char kWriteSql[] =
    "INSERT INTO kv (key, value) VALUES ($1, $2) ON CONFLICT (key) DO UPDATE SET value = excluded.value";
constexpr char kValue[] = "tuesday 09:00";

std::vector<unsigned> parse_list(const std::string& text) {
  std::vector<unsigned> numbers;
  std::istringstream words(text);
  for (std::string word; std::getline(words, word, ',');) {
    unsigned number = 0;
    const auto parsed = std::from_chars(word.data(), word.data() + word.size(), number);
    if (parsed.ec != std::errc() || parsed.ptr != word.data() + word.size()) {
      throw std::invalid_argument("'" + word + "' is not a number");
    }
    numbers.push_back(number);
  }
  return numbers;
}

/// Latencies of one kind of statement, in microseconds.
class Samples {
 public:
  void add(SteadyClock::duration latency) {
    m_values.push_back(std::chrono::duration_cast<Microseconds>(latency).count());
  }
  void merge(const Samples& other) { m_values.insert(m_values.end(), other.m_values.begin(), other.m_values.end()); }
  std::size_t size() const { return m_values.size(); }

  /// Returns the quantile at `share` (0 to 1), or zero without samples.
  double quantile(double share) const {
    if (m_values.empty()) {
      return 0;
    }
    std::vector<double> sorted = m_values;
    std::sort(sorted.begin(), sorted.end());
    return sorted[static_cast<std::size_t>(static_cast<double>(sorted.size() - 1) * share)];
  }

 private:
  std::vector<double> m_values;
};

/// A libpq connection to a member.
class DirectConnection {
 public:
  explicit DirectConnection(unsigned port)
      : m_connection(PQconnectdb(("host=127.0.0.1 port=" + std::to_string(port) +
                                  " dbname=postgres user=measure sslmode=disable gssencmode=disable connect_timeout=5")
                                     .c_str())) {
    if (PQstatus(m_connection.get()) != CONNECTION_OK) {
      throw std::runtime_error(PQerrorMessage(m_connection.get()));
    }
  }

  /// Runs a statement and returns the first value of its result, or an empty string. Throws std::runtime_error on
  /// failure.
  std::string run(const char* sql, const std::vector<const char*>& values) {
    const Result result(PQexecParams(m_connection.get(), sql, static_cast<int>(values.size()), nullptr, values.data(),
                                     nullptr, nullptr, 0));
    check(result.get());
    return PQntuples(result.get()) == 0 ? "" : PQgetvalue(result.get(), 0, 0);
  }

  /// Returns the status row of the member.
  std::vector<std::string> status() {
    const Result result(PQexec(m_connection.get(), member_sql::kMemberStatus));
    check(result.get());
    std::vector<std::string> row;
    row.reserve(static_cast<std::size_t>(PQnfields(result.get())));
    for (int column = 0; column < PQnfields(result.get()); ++column) {
      row.emplace_back(PQgetvalue(result.get(), 0, column));
    }
    return row;
  }

  /// Runs the commands of an operation in one pipeline, as the PostgreSQL adapter of the daemon does.
  void run_pipeline(const OperationScript& script) {
    PGconn* const connection = m_connection.get();
    require(PQenterPipelineMode(connection) == 1);
    for (const ScriptCommand& command : script) {
      if (command.role == CommandRole::kSync) {
        require(PQpipelineSync(connection) == 1);
        continue;
      }
      std::vector<const char*> values;
      for (const std::optional<std::string>& value : command.parameters) {
        values.push_back(value ? value->c_str() : nullptr);
      }
      require(PQsendQueryParams(connection, command.sql.c_str(), static_cast<int>(values.size()), nullptr,
                                values.data(), nullptr, nullptr, 0) == 1);
    }
    for (const ScriptCommand& command : script) {
      read_results(command.role == CommandRole::kSync);
    }
    require(PQexitPipelineMode(connection) == 1);
  }

 private:
  struct Clear {
    void operator()(PGresult* result) const { PQclear(result); }
  };
  struct Finish {
    void operator()(PGconn* connection) const { PQfinish(connection); }
  };
  using Result = std::unique_ptr<PGresult, Clear>;

  void require(bool holds) const {
    if (!holds) {
      throw std::runtime_error(PQerrorMessage(m_connection.get()));
    }
  }

  void check(const PGresult* result) const {
    const ExecStatusType status = PQresultStatus(result);
    require(status == PGRES_TUPLES_OK || status == PGRES_COMMAND_OK || status == PGRES_PIPELINE_SYNC);
  }

  /// Reads all results of one command. A synchronization point has one result and no terminating null result.
  void read_results(bool synchronization) {
    Result result(PQgetResult(m_connection.get()));
    check(result.get());
    while (!synchronization && result != nullptr) {
      result.reset(PQgetResult(m_connection.get()));
    }
  }

  std::unique_ptr<PGconn, Finish> m_connection;
};

struct HttpAnswer {
  bool served = false;
  std::string body;
};

/// A keep-alive HTTP/1.1 connection to the daemon.
class HttpConnection {
 public:
  HttpConnection() : m_socket(socket(AF_INET, SOCK_STREAM, 0)) {
    const int on = 1;
    setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const timeval timeout = {kAnswerTimeoutSeconds, 0};
    setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(FLAGS_daemon_port));
    if (connect(m_socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
      close(m_socket);
      throw std::runtime_error("cannot connect to the daemon on the port in --daemon_port");
    }
  }
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;
  ~HttpConnection() { close(m_socket); }

  HttpAnswer post(const std::string& body) {
    const std::string request = "POST /v1/services/" + FLAGS_service +
                                "/statements HTTP/1.1\r\nhost: 127.0.0.1\r\ncontent-type: application/json\r\n"
                                "content-length: " +
                                std::to_string(body.size()) + "\r\n\r\n" + body;
    if (send(m_socket, request.data(), request.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(request.size())) {
      throw std::runtime_error("cannot send a request to the daemon");
    }
    return receive();
  }

 private:
  HttpAnswer receive() {
    std::string input;
    std::size_t head_end = std::string::npos;
    while (head_end == std::string::npos) {
      receive_more(input);
      head_end = input.find("\r\n\r\n");
    }
    const std::size_t body_begin = head_end + 4;
    const std::size_t body_size = content_length(input.substr(0, body_begin));
    while (input.size() < body_begin + body_size) {
      receive_more(input);
    }
    return {input.starts_with("HTTP/1.1 200"), input.substr(body_begin)};
  }

  void receive_more(std::string& input) const {
    char buffer[16384];
    const ssize_t size = recv(m_socket, buffer, sizeof buffer, 0);
    if (size <= 0) {
      throw std::runtime_error("the daemon closed the connection or did not answer in time");
    }
    input.append(buffer, static_cast<std::size_t>(size));
  }

  static std::size_t content_length(std::string head) {
    std::transform(head.begin(), head.end(), head.begin(), [](unsigned char letter) { return std::tolower(letter); });
    constexpr std::string_view kField = "content-length:";
    const std::size_t field = head.find(kField);
    if (field == std::string::npos) {
      throw std::runtime_error("the answer of the daemon has no content-length header");
    }
    return std::strtoul(head.c_str() + field + kField.size(), nullptr, 10);
  }

  const int m_socket;
};

/// Returns the string field `name` of a JSON document without escapes in strings, or an empty string if it is missing.
std::string text_field(const std::string& document, std::string_view name) {
  const std::string field = '"' + std::string(name) + "\":\"";
  const std::size_t begin = document.find(field);
  if (begin == std::string::npos) {
    return "";
  }
  const std::size_t value = begin + field.size();
  return document.substr(value, document.find('"', value) - value);
}

/// A caller's session through the daemon. Each request contains the newest token that the session received.
class DaemonSession {
 public:
  /// Each session uses its own key, because the daemon merges identical concurrent reads.
  explicit DaemonSession(unsigned number) : m_key("key-" + std::to_string(number)) {}

  /// Runs a read with the given freshness, or a write if `freshness` is empty. Returns whether it was served.
  bool run(const std::string& freshness) {
    const HttpAnswer answer = m_connection.post(freshness.empty() ? write_body() : read_body(freshness));
    m_last_answer = answer.body;
    if (!answer.served) {
      return false;
    }
    if (std::string token = text_field(answer.body, "token"); !token.empty()) {
      m_token = std::move(token);
    }
    return true;
  }

  const std::string& last_answer() const { return m_last_answer; }

 private:
  std::string token_field() const { return m_token.empty() ? "" : R"(, "token": ")" + m_token + '"'; }

  std::string write_body() const {
    return std::string(R"({"statements": [{"sql": ")") + kWriteSql + R"(", "params": [")" + m_key + R"(", ")" + kValue +
           R"("]}])" + token_field() + "}";
  }

  std::string read_body(const std::string& freshness) const {
    return std::string(R"({"statements": [{"sql": ")") + kReadSql + R"(", "params": [")" + m_key +
           R"("]}], "read_only": true, "freshness": ")" + freshness + '"' + token_field() + "}";
  }

  const std::string m_key;
  HttpConnection m_connection;
  std::string m_token;
  std::string m_last_answer;
};

/// Processor time of a process in seconds.
struct ProcessorTime {
  double user = 0;
  double system = 0;

  double total() const { return user + system; }
};

ProcessorTime processor_time(unsigned pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  const std::string line(std::istreambuf_iterator<char>(file), {});
  // The program name is in parentheses and may contain spaces; utime and stime are the 12th and 13th field after it.
  std::istringstream fields(line.substr(std::min(line.size(), line.rfind(')') + 1)));
  const std::vector<std::string> values(std::istream_iterator<std::string>(fields), {});
  if (values.size() < 13) {
    throw std::runtime_error("cannot read the processor time of process " + std::to_string(pid));
  }
  const auto ticks_per_second = static_cast<double>(sysconf(_SC_CLK_TCK));
  return {std::stod(values[11]) / ticks_per_second, std::stod(values[12]) / ticks_per_second};
}

/// Returns the number of voluntary context switches of the main thread of a process, that is, how often it went to
/// sleep.
std::uint64_t count_sleeps(unsigned pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  constexpr std::string_view kField = "voluntary_ctxt_switches:";
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with(kField)) {
      return std::stoull(line.substr(kField.size()));
    }
  }
  throw std::runtime_error("cannot read the context switches of process " + std::to_string(pid));
}

double members_time() {
  double total = 0;
  for (const unsigned pid : parse_list(FLAGS_member_pids)) {
    total += processor_time(pid).total();
  }
  return total;
}

/// A kind of statement that is measured sequentially.
struct Kind {
  std::string name;
  /// Name of the kind whose quantiles are subtracted to print the added latency; empty for none.
  std::string reference;
  std::function<bool()> run;
  /// Called before each statement without being timed; empty for none.
  std::function<void()> prepare;
  Samples samples;
  std::size_t refused = 0;
};

void run_batch(Kind& kind, unsigned count) {
  for (unsigned index = 0; index < count; ++index) {
    if (kind.prepare) {
      kind.prepare();
    }
    const auto begin = SteadyClock::now();
    const bool served = kind.run();
    const auto end = SteadyClock::now();
    if (served) {
      kind.samples.add(end - begin);
    } else {
      ++kind.refused;
    }
  }
}

void print_latencies(const std::vector<Kind>& kinds) {
  std::printf("%-40s %8s %8s %10s %10s %10s %10s\n", "one after another, in us", "count", "refused", "p50", "p99",
              "added p50", "added p99");
  for (const Kind& kind : kinds) {
    std::printf("%-40s %8zu %8zu %10.0f %10.0f", kind.name.c_str(), kind.samples.size(), kind.refused,
                kind.samples.quantile(0.5), kind.samples.quantile(0.99));
    const auto reference =
        std::find_if(kinds.begin(), kinds.end(), [&kind](const Kind& other) { return other.name == kind.reference; });
    if (reference != kinds.end()) {
      std::printf(" %10.0f %10.0f", kind.samples.quantile(0.5) - reference->samples.quantile(0.5),
                  kind.samples.quantile(0.99) - reference->samples.quantile(0.99));
    }
    std::printf("\n");
  }
  std::printf("*: after a random pause of up to %.0f us; the added time of the daemon is that over the replication\n",
              Microseconds(kMaxPause).count());
}

/// Repeats a write until the group has a primary.
void wait_for_primary(DaemonSession& session) {
  const auto deadline = SteadyClock::now() + kStartTimeout;
  while (!session.run("")) {
    if (SteadyClock::now() > deadline) {
      throw std::runtime_error("no write was acknowledged in time after the start; last answer: " +
                               session.last_answer());
    }
    std::this_thread::sleep_for(kStartRetryInterval);
  }
}

/// Column indexes in the status row of member_status().
constexpr std::size_t kRaisedTermColumn = 0;
constexpr std::size_t kReceivedColumn = 3;
constexpr std::size_t kIsPrimaryColumn = 5;

/// Direct connections to the members of the group.
struct DirectGroup {
  std::unique_ptr<DirectConnection> primary;
  std::vector<std::unique_ptr<DirectConnection>> replicas;
  /// The term of the primary.
  Term term;
};

DirectGroup connect_to_members() {
  DirectGroup group;
  for (const unsigned port : parse_list(FLAGS_member_ports)) {
    auto connection = std::make_unique<DirectConnection>(port);
    const std::vector<std::string> status = connection->status();
    if (status.at(kIsPrimaryColumn) == "t") {
      group.term = Term(std::stoull(status.at(kRaisedTermColumn)));
      group.primary = std::move(connection);
    } else {
      group.replicas.push_back(std::move(connection));
    }
  }
  if (group.primary == nullptr || group.replicas.empty()) {
    throw std::runtime_error("the group needs one primary and at least one replica");
  }
  return group;
}

/// Polls the replicas without a pause until one of them has received the whole log of the primary. With three members,
/// this is the earliest time at which a majority has the last write.
void wait_for_replica(const DirectGroup& group) {
  const std::uint64_t written = std::stoull(group.primary->status().at(kReceivedColumn));
  while (true) {
    for (const auto& replica : group.replicas) {
      if (std::stoull(replica->status().at(kReceivedColumn)) >= written) {
        return;
      }
    }
  }
}

/// Measures the latencies of sequential statements. The kinds alternate, so that other load on the machine affects all
/// of them.
void measure_latencies() {
  DaemonSession session(0);
  wait_for_primary(session);
  const DirectGroup group = connect_to_members();
  DirectConnection* const direct = group.primary.get();
  const char* const key = "key-direct";
  const OperationScript read_script = build_script(RunStatements{Term(), {{kReadSql, {key}}}, true, RequestId()});
  unsigned next_request = 0;
  const auto run_write_pipeline = [&] {
    const RequestId id("direct-" + std::to_string(++next_request));
    direct->run_pipeline(build_script(RunStatements{group.term, {{kWriteSql, {key, kValue}}}, false, id}));
    return true;
  };
  std::vector<Kind> kinds;
  const auto add = [&kinds](const std::string& name, const std::string& reference, std::function<bool()> run_one,
                            std::function<void()> prepare = nullptr) {
    kinds.push_back({name, reference, std::move(run_one), std::move(prepare), {}, 0});
  };
  const std::string write = "direct write";
  const std::string read = "direct read";
  const std::string replicated = "direct write until a replica has it *";
  std::mt19937_64 random(FLAGS_seed);
  const auto pause = [&random] {
    std::uniform_int_distribution<std::int64_t> microseconds(0, kMaxPause.count());
    std::this_thread::sleep_for(std::chrono::microseconds(microseconds(random)));
  };
  add(write, "", [&] { return direct->run(kWriteSql, {key, kValue}), true; });
  add("direct write, adapter's pipeline", write, run_write_pipeline);
  add("daemon write", write, [&] { return session.run(""); });
  const auto write_until_replicated = [&] {
    direct->run(kWriteSql, {key, kValue});
    wait_for_replica(group);
    return true;
  };
  add(replicated, write, write_until_replicated, pause);
  add(
      "daemon write *", replicated, [&] { return session.run(""); }, pause);
  add(read, "", [&] { return direct->run(kReadSql, {key}), true; });
  add("direct read, adapter's pipeline", read, [&] { return direct->run_pipeline(read_script), true; });
  add("daemon read, max_age", read, [&] { return session.run("max_age"); });
  add("daemon read, own_writes", read, [&] { return session.run("own_writes"); });
  add("daemon read, fresh", read, [&] { return session.run("fresh"); });
  add(
      "own_writes right after a write", read, [&] { return session.run("own_writes"); }, [&] { session.run(""); });
  for (unsigned round = 0; round < FLAGS_rounds; ++round) {
    for (Kind& kind : kinds) {
      run_batch(kind, FLAGS_count / FLAGS_rounds);
    }
  }
  print_latencies(kinds);
}

/// Results of one connection of a concurrent run.
struct ConnectionOutcome {
  Samples samples;
  /// Number of refused statements by reason and detail in the answer of the daemon.
  std::map<std::string, std::size_t> refused;
  std::string error;
};

void run_until(unsigned number, const std::string& freshness, SteadyClock::time_point deadline,
               ConnectionOutcome& outcome) {
  try {
    DaemonSession session(number);
    while (SteadyClock::now() < deadline) {
      const auto begin = SteadyClock::now();
      if (session.run(freshness)) {
        outcome.samples.add(SteadyClock::now() - begin);
      } else {
        ++outcome.refused[text_field(session.last_answer(), "reason") + ": " +
                          text_field(session.last_answer(), "detail")];
      }
    }
  } catch (const std::exception& error) {
    outcome.error = error.what();
  }
}

void measure_throughput(const std::string& name, const std::string& freshness, unsigned connections) {
  std::this_thread::sleep_for(kPauseBeforeRun);
  std::vector<ConnectionOutcome> outcomes(connections);
  const ProcessorTime daemon_before = processor_time(FLAGS_daemon_pid);
  const double members_before = members_time();
  const std::uint64_t sleeps_before = count_sleeps(FLAGS_daemon_pid);
  const auto begin = SteadyClock::now();
  {
    std::vector<std::jthread> threads;
    for (unsigned number = 0; number < connections; ++number) {
      threads.emplace_back(run_until, number, freshness, begin + std::chrono::seconds(FLAGS_seconds),
                           std::ref(outcomes[number]));
    }
  }
  const double elapsed = std::chrono::duration<double>(SteadyClock::now() - begin).count();
  const ProcessorTime daemon_after = processor_time(FLAGS_daemon_pid);
  const double members_used = members_time() - members_before;
  const auto sleeps = static_cast<double>(count_sleeps(FLAGS_daemon_pid) - sleeps_before);
  Samples samples;
  std::map<std::string, std::size_t> reasons;
  std::size_t refused = 0;
  for (const ConnectionOutcome& outcome : outcomes) {
    if (!outcome.error.empty()) {
      throw std::runtime_error(outcome.error);
    }
    samples.merge(outcome.samples);
    for (const auto& [reason, count] : outcome.refused) {
      reasons[reason] += count;
      refused += count;
    }
  }
  const auto statements = static_cast<double>(std::max<std::size_t>(samples.size(), 1));
  const double used = daemon_after.total() - daemon_before.total();
  std::printf("%-18s %5u %8.0f %7zu %7.0f %7.0f %6.2f %7.0f %7.0f %7.2f %7.0f %10.0f\n", name.c_str(), connections,
              statements / elapsed, refused, samples.quantile(0.5), samples.quantile(0.99), used / elapsed,
              used * 1e6 / statements, (daemon_after.user - daemon_before.user) * 1e6 / statements, sleeps / statements,
              members_used * 1e6 / statements, used > 0 ? statements / used : 0);
  for (const auto& [reason, count] : reasons) {
    std::printf("  refused %zu times: %s\n", count, reason.c_str());
  }
}

void measure_all_throughputs() {
  std::printf("%-18s %5s %8s %7s %7s %7s %6s %7s %7s %7s %7s %10s\n", "concurrent", "conns", "stmts/s", "refused",
              "p50 us", "p99 us", "cores", "cpu us", "user us", "sleeps", "mbrs us", "stmts/core");
  const std::vector<std::pair<std::string, std::string>> kinds = {
      {"read, max_age", "max_age"}, {"read, own_writes", "own_writes"}, {"read, fresh", "fresh"}, {"write", ""}};
  for (const auto& [name, freshness] : kinds) {
    for (const unsigned connections : parse_list(FLAGS_connections)) {
      measure_throughput(name, freshness, connections);
    }
  }
}

}  // namespace

void run() {
  if (FLAGS_rounds == 0 || FLAGS_count < FLAGS_rounds) {
    throw std::invalid_argument("--count must be at least --rounds, which must be at least 1");
  }
  measure_latencies();
  measure_all_throughputs();
}

}  // namespace teaselrudder::measure

/// Compares statements through a running daemon with the same statements on a direct connection to the primary.
int main(int argc, char** argv) {
  try {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    teaselrudder::measure::run();
  } catch (const std::exception& error) {
    std::cerr << "daemon_load: " << error.what() << '\n';
    return EXIT_FAILURE;
  }
  return EXIT_SUCCESS;
}
