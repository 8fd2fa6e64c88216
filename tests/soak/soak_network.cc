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
/// Time after which the entry of a member that does not run lapses.
constexpr Duration kEntryLapse = std::chrono::milliseconds(1800);

/// First port of the hosts of any run, and the ports of one run. They lie below those that the system gives to outgoing
/// connections, one of which would otherwise take the port of a host that is down.
constexpr std::uint16_t kFirstPort = 10000;
constexpr std::uint16_t kPortsOfRun = 256;
constexpr std::uint16_t kRuns = 85;
constexpr std::uint16_t kPortsOfHost = 3;

/// Takes the first port of a range that no other run has; the rest of the range belongs to this run while the listener
/// is open. Throws std::runtime_error if all ranges are taken.
testing::TcpListener* reserve_ports(uv_loop_t* loop) {
  for (int run = 0; run < kRuns; ++run) {
    // Runs that start at the same moment look at different ranges first.
    const auto first = static_cast<std::uint16_t>(kFirstPort + (getpid() + run) % kRuns * kPortsOfRun);
    if (testing::TcpListener::is_free(loop, first)) {
      return new testing::TcpListener(loop, first, [](uv_stream_t*) {});
    }
  }
  throw std::runtime_error("no range of ports is free");
}

HostProcess::Ports ports_of(std::size_t host, std::uint16_t reserved) {
  const auto first = static_cast<std::uint16_t>(reserved + 1 + host * kPortsOfHost);
  return {first, static_cast<std::uint16_t>(first + 1), static_cast<std::uint16_t>(first + 2), 0};
}

}  // namespace

SoakNetwork::SoakNetwork(uv_loop_t* loop, model::EventQueue& events, model::ReplicatedMembers& members,
                         std::size_t hosts)
    : m_events(events),
      m_members(members),
      m_hosts(hosts),
      m_published(members.size()),
      m_seen_alive(members.size(), events.now()) {
  const auto clock = [&events] { return events.now(); };
  m_reservation = reserve_ports(loop);
  for (std::size_t index = 0; index < hosts; ++index) {
    HostSide& side = m_hosts[index];
    side.ports = ports_of(index, m_reservation->port());
    side.links = members.make_link_port(index);
    const auto view = [this, index](const std::string& key, const std::string& value) {
      return seen_by(index, key, value);
    };
    side.platform = std::make_unique<testing::PlatformServer>(loop, m_store, view, members, clock);
    side.ports.platform = side.platform->port();
    for (std::size_t member = 0; member < members.size(); ++member) {
      side.members.push_back(
          std::make_unique<MemberGateway>(loop, events, members, member, *side.links, m_last_connection));
    }
  }
  for (std::size_t from = 0; from < hosts; ++from) {
    for (std::size_t to = 0; to < hosts; ++to) {
      m_hosts[from].reports.push_back(from == to ? nullptr : new ReportRelay(loop, m_hosts[to].ports.evidence));
    }
  }
  publish_configuration();
  publish_members();
}

SoakNetwork::~SoakNetwork() {
  m_reservation->close();
  for (HostSide& side : m_hosts) {
    for (ReportRelay* const relay : side.reports) {
      if (relay != nullptr) {
        relay->close();
      }
    }
  }
}

std::string SoakNetwork::seen_by(std::size_t host, const std::string& key, const std::string& value) const {
  if (key.starts_with(kMemberPrefix)) {
    auto entry = nlohmann::json::parse(value);
    const auto member = entry.at("addr").get<std::size_t>();
    entry["addr"] = "127.0.0.1:" + std::to_string(m_hosts[host].members[member]->port());
    return entry.dump();
  }
  if (!key.starts_with(kHostPrefix)) {
    return value;
  }
  // A host's record begins with the address and port that take its reports.
  for (std::size_t other = 0; other < m_hosts.size(); ++other) {
    if (other != host && key == std::string(kHostPrefix) + host_name(other)) {
      const std::size_t port = value.find(' ') + 1;
      return value.substr(0, port) + std::to_string(m_hosts[host].reports[other]->port()) +
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
    routes.push_back({{"name", database_of(freshness)},
                      {"host", database_of(freshness)},
                      {"kind", kind},
                      {"service", m_members.group().value()},
                      {"timeout_ms", 1500},
                      {"slo_ms", 250},
                      {"priority", 1},
                      {"max_staleness_ms", 1500}});
  }
  const nlohmann::json configuration = {
      {"version", ++m_version},
      {"routes", routes},
      {"services",
       nlohmann::json::array(
           {{{"name", m_members.group().value()}, {"max_conns", m_members.max_connections}, {"sync_replicas", 1}}})},
      {"limits", {{"tx_idle_ms", 3000}}}};
  m_store.put("op/config", configuration.dump());
}

std::string SoakNetwork::member_key(std::size_t index) const {
  return std::string(kMemberPrefix) + m_members.member(index).entry.member.value();
}

void SoakNetwork::publish_members() {
  for (std::size_t index = 0; index < m_members.size(); ++index) {
    if (m_members.member(index).alive) {
      announce_member(index);
    } else if (!m_published[index].empty() && m_seen_alive[index] + kEntryLapse <= m_events.now()) {
      m_published[index].clear();
      m_store.remove(member_key(index));
    }
  }
}

void SoakNetwork::announce_member(std::size_t index) {
  const model::ReplicatedMembers::Member& member = m_members.member(index);
  m_seen_alive[index] = m_events.now();
  // The address is the member's number; each host is told a port of its own.
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
  m_store.expire(m_events.now());
  publish_members();
  if (m_store.revision() == m_told_revision) {
    return;
  }
  m_told_revision = m_store.revision();
  for (HostSide& side : m_hosts) {
    side.platform->on_content_changed();
  }
}

void SoakNetwork::isolate(std::size_t host, bool isolated) {
  HostSide& side = m_hosts[host];
  side.platform->set_fault(isolated ? testing::PlatformFault::kSilent : testing::PlatformFault::kNone);
  for (const auto& gateway : side.members) {
    gateway->cut(isolated, isolated);
  }
  for (std::size_t other = 0; other < m_hosts.size(); ++other) {
    if (other != host) {
      side.reports[other]->set_cut(isolated);
      m_hosts[other].reports[host]->set_cut(isolated);
    }
  }
}

}  // namespace teaselrudder::soak
