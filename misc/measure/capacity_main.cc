#include <gflags/gflags.h>
#include <malloc.h>

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "core/config/configuration_json.h"
#include "core/metrics/counters.h"
#include "core/random_sequence.h"
#include "misc/measure/capacity_fakes.h"
#include "servers/host/charts.h"
#include "servers/membership/rendezvous.h"

DEFINE_uint64(seed, 20261204, "Seed of all random values.");
DEFINE_uint32(seconds, 30, "Virtual time of each measurement in seconds.");

namespace teaselrudder::measure {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kDomains = 6;
constexpr std::size_t kMembers = 3;
constexpr Duration kWarmUp = seconds(5);

double cpu_seconds() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

double heap_bytes() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

std::string padded(std::size_t number) {
  std::string digits = std::to_string(number);
  return std::string(digits.size() < 3 ? 3 - digits.size() : 0, '0') + digits;
}

FailureDomainId domain(std::size_t index) { return FailureDomainId("domain-" + std::to_string(index % kDomains)); }

/// Returns hosts that are distributed over the failure domains round-robin. The port of a host is its index, by which
/// FakeEnvironment finds the record.
std::vector<HostRecord> make_hosts(std::size_t count) {
  std::vector<HostRecord> records;
  for (std::size_t index = 0; index < count; ++index) {
    HostRecord record;
    record.host = HostId("entry-" + padded(index));
    record.failure_domain = domain(index);
    record.peer_endpoint = Endpoint{"10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250),
                                    static_cast<std::uint16_t>(index)};
    record.incarnation = Incarnation(1);
    records.push_back(std::move(record));
  }
  return records;
}

GroupConfiguration make_group(const std::string& name, std::size_t number) {
  GroupConfiguration group;
  group.id = GroupId(name);
  for (std::size_t index = 0; index < kMembers; ++index) {
    MemberConfiguration member;
    member.id = MemberId("member-" + std::to_string(index));
    member.endpoint = Endpoint{"10.1." + std::to_string(number / 250) + "." + std::to_string(number % 250),
                               static_cast<std::uint16_t>(3 * (number + 1000) + index)};
    member.failure_domain = domain(number + index);
    group.members.push_back(std::move(member));
  }
  return group;
}

void add_group(Configuration& configuration, const GroupConfiguration& group) {
  configuration.groups.emplace(group.id, group);
  ServiceConfiguration service;
  service.name = ServiceName("service-" + group.id.value());
  service.group = group.id;
  configuration.services.emplace(service.name, service);
}

Configuration make_configuration(std::size_t groups) {
  Configuration configuration;
  configuration.version = ConfigurationVersion(1);
  configuration.change_id = "change-1";
  for (std::size_t number = 0; number < groups; ++number) {
    add_group(configuration, make_group("group-" + padded(number), number));
  }
  return configuration;
}

/// Returns a configuration with `groups` groups, none of which hosts[0] owns.
Configuration make_foreign_configuration(std::size_t groups, const std::vector<HostRecord>& hosts) {
  const HostRecord& self = hosts.front();
  std::vector<HostId> names;
  for (const HostRecord& record : hosts) {
    if (record.failure_domain == self.failure_domain) {
      names.push_back(record.host);
    }
  }
  Configuration configuration;
  configuration.version = ConfigurationVersion(1);
  for (std::size_t number = 0; configuration.groups.size() < groups; ++number) {
    const std::string name = "group-" + padded(number);
    if (rank_hosts(names, name + '/' + self.failure_domain.value()).front() != self.host) {
      add_group(configuration, make_group(name, number));
    }
  }
  return configuration;
}

/// The measured host with its simulated environment.
class MeasuredHost {
 public:
  explicit MeasuredHost(const std::vector<HostRecord>& hosts) : m_environment(hosts) {
    HostSettings settings;
    settings.self = hosts.front();
    settings.token_key = "key";
    settings.random_seed = FLAGS_seed;
    HostPorts ports{m_environment, m_environment, m_environment, m_environment,
                    m_environment, m_environment, m_environment};
    m_host = std::make_unique<EntryHost>(settings, ports, load_host_charts(CompiledChartSource()).value(), m_counters,
                                         m_environment.now());
    m_environment.attach(*m_host);
    for (std::size_t index = 1; index < hosts.size(); ++index) {
      m_host->add_known_host(hosts[index], m_environment.now());
    }
  }

  EntryHost& host() { return *m_host; }
  FakeEnvironment& environment() { return m_environment; }

  std::size_t owned_groups() const {
    std::size_t owned = 0;
    for (const auto& [id, runtime] : m_host->groups().runtimes()) {
      owned += runtime->ownership().owner ? 1 : 0;
    }
    return owned;
  }

  /// Runs the host and returns its processor time in seconds per second of virtual time.
  double measure_load() {
    m_environment.run_for(kWarmUp);
    m_environment.clear_traffic();
    const double before = cpu_seconds();
    m_environment.run_for(seconds(FLAGS_seconds));
    return (cpu_seconds() - before) / FLAGS_seconds;
  }

 private:
  FakeEnvironment m_environment;
  Counters m_counters;
  std::unique_ptr<EntryHost> m_host;
};

void print_traffic(const FakeEnvironment& environment, double duration) {
  double total = 0;
  for (const auto& [kind, traffic] : environment.traffic()) {
    const auto messages = static_cast<double>(traffic.messages);
    const auto bytes = static_cast<double>(traffic.bytes);
    total += bytes;
    std::printf("    %-20s %8.2f /s  %7.0f B each  %9.0f B/s\n", kind.c_str(), messages / duration, bytes / messages,
                bytes / duration);
  }
  std::printf("    %-20s %41.0f B/s\n", "all", total / duration);
}

void measure_owned_groups() {
  std::printf("(a) owned groups of 3 members, 6 hosts, no caller traffic\n");
  std::printf("    groups  owned  cpu us per s  heap KB\n");
  for (const std::size_t groups : {1U, 4U, 7U, 14U, 28U}) {
    const auto hosts = make_hosts(kDomains);
    const Configuration configuration = make_configuration(groups);
    MeasuredHost measured(hosts);
    const double before = heap_bytes();
    measured.host().adopt_configuration(configuration, "measurement", measured.environment().now());
    const double cpu = measured.measure_load();
    std::printf("    %6zu %6zu %13.0f %8.1f\n", groups, measured.owned_groups(), cpu * 1e6,
                (heap_bytes() - before) / 1e3);
  }
}

void measure_hosts() {
  std::printf("(b) hosts in the table, no groups\n");
  std::printf("    hosts  cpu us per s  heap KB\n");
  for (const std::size_t count : {10U, 87U, 520U}) {
    const auto hosts = make_hosts(count);
    const double before = heap_bytes();
    MeasuredHost measured(hosts);
    measured.environment().start_incoming_probes();
    const double cpu = measured.measure_load();
    std::printf("    %5zu %13.0f %8.1f\n", count, cpu * 1e6, (heap_bytes() - before) / 1e3);
  }
}

void measure_configuration() {
  std::printf("(c) configured groups and services that the host does not own\n");
  std::printf("    groups  document B  write ms  read ms  adopt ms  adopt next ms  heap KB\n");
  const auto hosts = make_hosts(520);
  for (const std::size_t groups : {10U, 100U, 610U}) {
    Configuration configuration = make_foreign_configuration(groups, hosts);
    MeasuredHost measured(hosts);
    const double start = cpu_seconds();
    const std::string document = configuration_to_json(configuration);
    const double written = cpu_seconds();
    const auto parsed = configuration_from_json(document);
    const double read = cpu_seconds();
    const double heap_before = heap_bytes();
    const double adopt_start = cpu_seconds();
    measured.host().adopt_configuration(configuration, "measurement", measured.environment().now());
    const double adopted = cpu_seconds();
    const double heap = heap_bytes() - heap_before;
    configuration.version = ConfigurationVersion(2);
    const double next_start = cpu_seconds();
    measured.host().adopt_configuration(configuration, "measurement", measured.environment().now());
    const double next = cpu_seconds();
    std::printf("    %6zu %11zu %9.2f %8.2f %9.2f %14.2f %8.1f%s\n", groups, document.size(), (written - start) * 1e3,
                (read - written) * 1e3, (adopted - adopt_start) * 1e3, (next - next_start) * 1e3, heap / 1e3,
                parsed.has_value() && measured.owned_groups() == 0 ? "" : "  INVALID");
  }
}

void measure_open_requests() {
  std::printf("(d) open requests, 28 owned groups; reads that no member answers\n");
  std::printf("    sent   open  refused  heap KB  B per open  cpu us per request  cpu us per s\n");
  for (const std::size_t count : {100U, 1000U, 4000U}) {
    const auto hosts = make_hosts(kDomains);
    const Configuration configuration = make_configuration(28);
    MeasuredHost measured(hosts);
    measured.host().adopt_configuration(configuration, "measurement", measured.environment().now());
    measured.environment().run_for(kWarmUp);
    const double before = heap_bytes();
    const double start = cpu_seconds();
    for (std::size_t index = 0; index < count; ++index) {
      Request request;
      request.service = ServiceName("service-group-" + padded(index % 28));
      request.statements = {{"SELECT room, humidity FROM rooms WHERE room = $1", {"42"}}};
      request.read_only = true;
      request.deadline = seconds(60);
      measured.host().on_caller_request(CallerRequestId(index + 1), std::move(request), measured.environment().now());
    }
    const double sent = cpu_seconds();
    const double heap = heap_bytes() - before;
    const std::size_t open = measured.host().requests().open_requests();
    // Shorter than the time after which an unanswered read is retried on another connection.
    constexpr Duration kObserved = milliseconds(800);
    measured.environment().run_for(kObserved);
    const double per_second = (cpu_seconds() - sent) / 0.8;
    std::printf("    %5zu %6zu %8llu %8.1f %11.0f %19.1f %13.0f\n", count, open,
                static_cast<unsigned long long>(measured.environment().refusals()), heap / 1e3,
                heap / static_cast<double>(open), (sent - start) * 1e6 / static_cast<double>(count), per_second * 1e6);
  }
}

/// Returns how many groups each host owns.
std::vector<std::size_t> count_owned(const std::vector<HostRecord>& hosts, const Configuration& configuration) {
  std::map<FailureDomainId, std::vector<HostId>> names;
  std::map<HostId, std::size_t> owned;
  for (const HostRecord& record : hosts) {
    names[record.failure_domain].push_back(record.host);
  }
  for (const auto& [group, details] : configuration.groups) {
    for (const auto& [name, members] : names) {
      ++owned[rank_hosts(members, group.value() + '/' + name.value()).front()];
    }
  }
  std::vector<std::size_t> counts;
  counts.reserve(hosts.size());
  for (const HostRecord& record : hosts) {
    counts.push_back(owned[record.host]);
  }
  return counts;
}

/// Moves a host to the front, where MeasuredHost expects the host to measure.
std::vector<HostRecord> move_to_front(std::vector<HostRecord> hosts, std::size_t index) {
  std::swap(hosts.front(), hosts.at(index));
  std::swap(hosts.front().peer_endpoint.port, hosts.at(index).peer_endpoint.port);
  return hosts;
}

void measure_full_size_host(const std::vector<HostRecord>& hosts, const Configuration& configuration) {
  const double before = heap_bytes();
  MeasuredHost measured(hosts);
  measured.host().adopt_configuration(configuration, "measurement", measured.environment().now());
  measured.environment().start_incoming_probes();
  const double cpu = measured.measure_load();
  std::printf("    owned %zu, cpu us per s %.0f, heap KB %.1f\n", measured.owned_groups(), cpu * 1e6,
              (heap_bytes() - before) / 1e3);
  print_traffic(measured.environment(), FLAGS_seconds);
}

void measure_full_size() {
  std::printf("(e) one host of 520 before 610 groups and services, no caller traffic\n");
  const auto hosts = make_hosts(520);
  const Configuration configuration = make_configuration(610);
  const auto owned = count_owned(hosts, configuration);
  const auto most = std::max_element(owned.begin(), owned.end());
  const auto least = std::min_element(owned.begin(), owned.end());
  const auto mean = std::find(owned.begin(), owned.end(), std::size_t{7});
  std::printf("    groups owned by a host: least %zu, most %zu\n", *least, *most);
  if (mean != owned.end()) {
    measure_full_size_host(move_to_front(hosts, static_cast<std::size_t>(mean - owned.begin())), configuration);
  }
  measure_full_size_host(move_to_front(hosts, static_cast<std::size_t>(most - owned.begin())), configuration);
  MemberStatus status;
  for (std::size_t entry = 0; entry < TermHistory::kMaxEntries; ++entry) {
    status.history.append(Term(entry + 1), LogPosition((entry + 1) * 1000000000));
  }
  std::printf("    answer to a status request with a full term history: %zu B\n", wire::member_status(status));
}

/// Measures for how long changes of the host table block the event loop: each change recomputes the owners of all
/// groups.
void measure_lost_domain() {
  std::printf("(f) one host of 520 before 610 groups learns that the hosts of another failure domain are dead\n");
  const auto hosts = make_hosts(520);
  MeasuredHost measured(hosts);
  measured.host().adopt_configuration(make_configuration(610), "measurement", measured.environment().now());
  std::size_t changes = 0;
  double longest = 0;
  const double start = cpu_seconds();
  for (HostRecord record : hosts) {
    if (record.failure_domain == domain(1)) {
      record.state = HostState::kDead;
      const double before = cpu_seconds();
      measured.host().add_known_host(record, measured.environment().now());
      longest = std::max(longest, cpu_seconds() - before);
      ++changes;
    }
  }
  const double total = cpu_seconds() - start;
  std::printf("    %zu changes one at a time, %.0f ms in all, longest %.1f ms, mean %.1f ms\n", changes, total * 1e3,
              longest * 1e3, total * 1e3 / static_cast<double>(changes));
}

void measure_suspicion() {
  std::printf("(g) one owned group whose primary is silent and which no other owner suspects\n");
  const auto hosts = make_hosts(kDomains);
  const Configuration configuration = make_configuration(1);
  MeasuredHost measured(hosts);
  measured.host().adopt_configuration(configuration, "measurement", measured.environment().now());
  measured.environment().run_for(kWarmUp);
  measured.environment().clear_traffic();
  measured.environment().stop_answering_on_port(configuration.groups.begin()->second.members.front().endpoint.port);
  measured.environment().run_for(seconds(10));
  print_traffic(measured.environment(), 10);
}

/// Returns the time in seconds until all hosts have a configuration version that the first `sources` hosts of each of
/// the first `domains` failure domains have at the start. Simulates only the probes: each host compares versions with a
/// random host of its own failure domain every second and with one of another domain every five seconds, and the host
/// with the older version fetches the newer one at once.
double time_to_spread(std::size_t sources, std::size_t domains, RandomSequence& random) {
  constexpr std::size_t kHosts = 520;
  constexpr std::size_t kStepsPerSecond = 5;
  constexpr std::size_t kLimit = 1000;
  std::vector<bool> has(kHosts, false);
  std::vector<std::size_t> phase(kHosts);
  for (std::size_t host = 0; host < kHosts; ++host) {
    has[host] = host % kDomains < domains && host / kDomains < sources;
    phase[host] = random.next() % (5 * kStepsPerSecond);
  }
  std::size_t step = 0;
  while (step < kLimit && std::find(has.begin(), has.end(), false) != has.end()) {
    ++step;
    for (std::size_t host = 0; host < kHosts; ++host) {
      const auto exchange = [&](bool own_domain) {
        std::size_t peer = host;
        while (peer == host || (peer % kDomains == host % kDomains) != own_domain) {
          peer = random.next() % kHosts;
        }
        const bool either = has[host] || has[peer];
        has[host] = either;
        has[peer] = either;
      };
      if ((step + phase[host]) % kStepsPerSecond == 0) {
        exchange(true);
      }
      if ((step + phase[host]) % (5 * kStepsPerSecond) == 0) {
        exchange(false);
      }
    }
  }
  return static_cast<double>(step) / kStepsPerSecond;
}

void measure_spread() {
  constexpr std::size_t kTrials = 500;
  std::printf("(h) time until 520 hosts have a new version through probes alone, %zu trials of a model\n", kTrials);
  RandomSequence random(FLAGS_seed);
  for (const auto& [sources, domains] : {std::pair<std::size_t, std::size_t>{2, 6}, {1, 6}, {1, 1}}) {
    std::vector<double> times;
    for (std::size_t trial = 0; trial < kTrials; ++trial) {
      times.push_back(time_to_spread(sources, domains, random));
    }
    std::sort(times.begin(), times.end());
    std::printf("    from %zu hosts in each of %zu failure domains: median %.1f s, worst %.1f s\n", sources, domains,
                times[kTrials / 2], times.back());
  }
}

/// Returns the time in seconds until one of the other hosts of a failure domain with `count` hosts suspects a host that
/// has stopped answering.
double time_to_suspect(std::size_t count, RandomSequence& random) {
  constexpr std::size_t kLimit = 1000;
  std::vector<HostRecord> records = make_hosts(count);
  std::vector<std::pair<Duration, HostTable>> tables;
  for (std::size_t index = 1; index < count; ++index) {
    records[index].failure_domain = records.front().failure_domain;
  }
  for (std::size_t index = 1; index < count; ++index) {
    HostTable table(records[index], HostTableTimings(), random.next());
    for (const HostRecord& record : records) {
      table.merge(record, TimePoint());
    }
    tables.emplace_back(milliseconds(random.next() % 1000), std::move(table));
  }
  std::sort(tables.begin(), tables.end(), [](const auto& left, const auto& right) { return left.first < right.first; });
  const HostId& dead = records.front().host;
  for (std::size_t second = 0; second < kLimit; ++second) {
    for (auto& [offset, table] : tables) {
      const TimePoint now = TimePoint(std::chrono::hours(1)) + seconds(second) + offset;
      for (const ProbeTarget& target : table.on_tick(now)) {
        if (target.host == dead && table.on_failure(dead, now)) {
          return static_cast<double>(second) + static_cast<double>(to_milliseconds(offset)) / 1e3;
        }
      }
    }
  }
  return kLimit;
}

void measure_host_failure() {
  constexpr std::size_t kTrials = 100;
  std::printf("(i) time until the first host of a failure domain suspects a silent one, through probes alone\n");
  RandomSequence random(FLAGS_seed);
  for (const std::size_t count : {2U, 8U, 87U}) {
    std::vector<double> times;
    for (std::size_t trial = 0; trial < kTrials; ++trial) {
      times.push_back(time_to_suspect(count, random));
    }
    std::sort(times.begin(), times.end());
    std::printf("    %zu hosts: median %.1f s, worst of %zu trials %.1f s\n", count, times[kTrials / 2], kTrials,
                times.back());
  }
}

int run() {
  std::printf("seed %llu, %u s of virtual time each\n", static_cast<unsigned long long>(FLAGS_seed), FLAGS_seconds);
  measure_owned_groups();
  measure_hosts();
  measure_configuration();
  measure_open_requests();
  measure_full_size();
  measure_lost_domain();
  measure_suspicion();
  measure_spread();
  measure_host_failure();
  return 0;
}

}  // namespace

}  // namespace teaselrudder::measure

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return teaselrudder::measure::run();
}
