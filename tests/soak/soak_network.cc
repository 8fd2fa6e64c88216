#include "tests/soak/soak_network.h"

#include <unistd.h>

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "tests/soak/soak_caller.h"

namespace teaselrudder::soak {

namespace {

constexpr std::string_view kHostPrefix = "hosts/";
constexpr std::string_view kMemberPrefix = "servers/";
/// Time after which the entry of a stopped member is removed.
constexpr Duration kEntryTimeToLive = std::chrono::milliseconds(1800);

/// Time between two copies of the store that are kept for restorations.
constexpr Duration kCopyInterval = std::chrono::milliseconds(500);

/// Each run uses one of kMaxConcurrentRuns ranges of ports from kFirstPort on. They lie below the system's ephemeral
/// ports, since an outgoing connection could otherwise take the port of a host that is down.
constexpr std::uint16_t kFirstPort = 10000;
constexpr std::uint16_t kPortsPerRun = 256;
constexpr std::uint16_t kMaxConcurrentRuns = 85;
constexpr std::uint16_t kPortsPerHost = 3;

/// Listens on the first port of a range that no other run uses. The range is reserved for this run while the listener
/// is open. Throws std::runtime_error if all ranges are in use.
testing::TcpListener* reserve_ports(uv_loop_t* loop) {
  for (int run = 0; run < kMaxConcurrentRuns; ++run) {
    // The process id makes runs that start at the same time try different ranges first.
    const auto first = static_cast<std::uint16_t>(kFirstPort + (getpid() + run) % kMaxConcurrentRuns * kPortsPerRun);
    if (testing::TcpListener::is_port_free(loop, first)) {
      return new testing::TcpListener(loop, first, [](uv_stream_t*) {});
    }
  }
  throw std::runtime_error("all port ranges of soak runs are in use");
}

HostProcess::Ports ports_of_host(std::size_t host, std::uint16_t reserved) {
  const auto first = static_cast<std::uint16_t>(reserved + 1 + host * kPortsPerHost);
  return {first, static_cast<std::uint16_t>(first + 1), static_cast<std::uint16_t>(first + 2), 0};
}

}  // namespace

SoakNetwork::SoakNetwork(uv_loop_t* loop, model::EventQueue& events, model::ReplicatedMembers& members,
                         std::size_t hosts)
    : m_events(events),
      m_members(members),
      m_hosts(hosts),
      m_published(members.size()),
      m_last_alive_at(members.size(), events.now()) {
  const auto clock = [&events] { return events.now(); };
  m_port_reservation = reserve_ports(loop);
  for (std::size_t index = 0; index < hosts; ++index) {
    HostEnvironment& environment = m_hosts[index];
    environment.ports = ports_of_host(index, m_port_reservation->port());
    environment.links = members.make_link_port(index);
    const auto view = [this, index](const std::string& key, const std::string& value) {
      return value_for_host(index, key, value);
    };
    environment.platform = std::make_unique<testing::PlatformServer>(loop, m_store, view, members, clock);
    environment.ports.platform = environment.platform->port();
    for (std::size_t member = 0; member < members.size(); ++member) {
      environment.member_gateways.push_back(
          std::make_unique<MemberGateway>(loop, events, members, member, *environment.links, m_last_connection));
    }
  }
  for (std::size_t from = 0; from < hosts; ++from) {
    for (std::size_t to = 0; to < hosts; ++to) {
      m_hosts[from].report_relays.push_back(from == to ? nullptr : new ReportRelay(loop, m_hosts[to].ports.evidence));
    }
  }
  publish_configuration();
  publish_members();
}

SoakNetwork::~SoakNetwork() {
  m_port_reservation->close();
  for (HostEnvironment& environment : m_hosts) {
    for (ReportRelay* const relay : environment.report_relays) {
      if (relay != nullptr) {
        relay->close();
      }
    }
  }
}

std::string SoakNetwork::value_for_host(std::size_t host, const std::string& key, const std::string& value) const {
  if (key.starts_with(kMemberPrefix)) {
    auto entry = nlohmann::json::parse(value);
    const auto member = entry.at("addr").get<std::size_t>();
    entry["addr"] = "127.0.0.1:" + std::to_string(m_hosts[host].member_gateways[member]->port());
    return entry.dump();
  }
  if (!key.starts_with(kHostPrefix)) {
    return value;
  }
  // A host record begins with the address and the port that receive the host's reports.
  for (std::size_t other = 0; other < m_hosts.size(); ++other) {
    if (other != host && key == std::string(kHostPrefix) + host_name(other)) {
      const std::size_t port = value.find(' ') + 1;
      return value.substr(0, port) + std::to_string(m_hosts[host].report_relays[other]->port()) +
             value.substr(value.find(' ', port));
    }
  }
  return value;
}

void SoakNetwork::publish_configuration() {
  auto routes = nlohmann::json::array();
  for (const auto& [freshness, kind] :
       {std::pair(ReadFreshness::kPrimary, "primary"), std::pair(ReadFreshness::kBounded, "bounded_staleness"),
        std::pair(ReadFreshness::kOwnWrites, "read_your_writes")}) {
    routes.push_back({{"name", database_for(freshness)},
                      {"host", database_for(freshness)},
                      {"kind", kind},
                      {"service", m_members.group().value()},
                      {"timeout_ms", 1500},
                      {"slo_ms", 250},
                      {"priority", 1},
                      {"max_staleness_ms", 1500}});
  }
  m_configuration = {
      {"version", ++m_version},
      {"routes", routes},
      {"services",
       nlohmann::json::array(
           {{{"name", m_members.group().value()}, {"max_conns", m_members.max_connections}, {"sync_replicas", 1}}})},
      {"limits", {{"tx_idle_ms", 3000}}}};
  m_store.put("op/config", m_configuration.dump());
}

void SoakNetwork::restore_store(Duration age, Duration delay) {
  m_store.restore_copy(age, m_events.now());
  m_events.at(m_events.now() + delay, [this] {
    m_store.put("op/config", m_configuration.dump());
    // Members that run write their entries again; those of others expire.
    for (std::size_t index = 0; index < m_published.size(); ++index) {
      m_published[index] = m_members.member(index).alive ? "" : "an entry of the copy";
    }
  });
}

std::string SoakNetwork::member_key(std::size_t index) const {
  return std::string(kMemberPrefix) + m_members.member(index).entry.member.value();
}

void SoakNetwork::publish_members() {
  for (std::size_t index = 0; index < m_members.size(); ++index) {
    if (m_members.member(index).alive) {
      publish_member(index);
    } else if (!m_published[index].empty() && m_last_alive_at[index] + kEntryTimeToLive <= m_events.now()) {
      m_published[index].clear();
      m_store.remove(member_key(index));
    }
  }
}

void SoakNetwork::publish_member(std::size_t index) {
  const model::ReplicatedMembers::Member& member = m_members.member(index);
  m_last_alive_at[index] = m_events.now();
  // The stored address is the index of the member; value_for_host() replaces it by the gateway address of each host.
  const nlohmann::json entry = {{"service", m_members.group().value()},
                                {"addr", index},
                                {"zone", member.entry.failure_domain.value()},
                                {"slots", member.entry.slots},
                                {"state", member.entry.leaving ? "draining" : "ready"},
                                {"warmup_left_ms", 0},
                                {"db_role", member.is_primary ? "primary" : "replica"},
                                {"born", member.entry.started_at_ms}};
  if (entry.dump() != m_published[index]) {
    m_published[index] = entry.dump();
    m_store.put(member_key(index), m_published[index]);
  }
}

void SoakNetwork::on_tick() {
  m_store.expire_leases(m_events.now());
  if (m_next_copy <= m_events.now()) {
    m_next_copy = m_events.now() + kCopyInterval;
    m_store.keep_copy(m_events.now());
  }
  publish_members();
  const std::pair state(m_store.era(), m_store.revision());
  if (state == m_notified_state) {
    return;
  }
  m_notified_state = state;
  for (HostEnvironment& environment : m_hosts) {
    environment.platform->on_store_changed();
  }
}

void SoakNetwork::isolate(std::size_t host, bool isolated) {
  HostEnvironment& environment = m_hosts[host];
  environment.platform->set_fault(isolated ? testing::PlatformFault::kSilent : testing::PlatformFault::kNone);
  for (const auto& gateway : environment.member_gateways) {
    gateway->set_blocked(isolated, isolated);
  }
  for (std::size_t other = 0; other < m_hosts.size(); ++other) {
    if (other != host) {
      environment.report_relays[other]->set_blocked(isolated);
      m_hosts[other].report_relays[host]->set_blocked(isolated);
    }
  }
}

}  // namespace teaselrudder::soak
