#pragma once

#include <uv.h>

#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "tests/model/replicated_members.h"
#include "tests/soak/host_process.h"
#include "tests/soak/member_gateway.h"
#include "tests/soak/report_relay.h"
#include "tests/stand_ins/in_memory_kv_store.h"
#include "tests/stand_ins/platform_server.h"

namespace teaselrudder::soak {

/// Simulated environment of all hosts of a soak run: platform, members, and the network between hosts. Each host
/// reaches each of them through a separate port, so that every network path can fail independently. The platform gives
/// each host the addresses of its own ports.
class SoakNetwork {
 public:
  struct HostEnvironment {
    HostProcess::Ports ports;
    std::unique_ptr<MemberLinkPort> links;
    std::unique_ptr<testing::PlatformServer> platform;
    std::vector<std::unique_ptr<MemberGateway>> member_gateways;
    /// Relays of reports to the other hosts, by host index; null for the host itself.
    std::vector<ReportRelay*> report_relays;
  };

  SoakNetwork(uv_loop_t* loop, model::EventQueue& events, model::ReplicatedMembers& members, std::size_t hosts);
  SoakNetwork(const SoakNetwork&) = delete;
  SoakNetwork& operator=(const SoakNetwork&) = delete;
  ~SoakNetwork();

  static std::string host_name(std::size_t host) { return "host" + std::to_string(host); }
  HostEnvironment& host(std::size_t index) { return m_hosts[index]; }
  std::size_t size() const { return m_hosts.size(); }
  testing::InMemoryKvStore& store() { return m_store; }

  /// Writes the operator's configuration to the store with a new version.
  void publish_configuration();
  /// Restores the store from a copy that is about `age` old. Its writers write again what is lost after `delay`.
  void restore_store(Duration age, Duration delay);
  /// Writes the entry of a member to the store if it changed.
  void publish_member(std::size_t index);
  /// Writes changed entries of running members, and removes the entries of members that have been down for too long.
  void publish_members();
  /// Expires leases, publishes members, and notifies the watches of the hosts if the store changed.
  void on_tick();

  /// Sets whether a host is isolated: it reaches neither other hosts nor the platform nor members.
  void isolate(std::size_t host, bool isolated);

 private:
  std::string member_key(std::size_t index) const;
  std::string value_for_host(std::size_t host, const std::string& key, const std::string& value) const;

  model::EventQueue& m_events;
  model::ReplicatedMembers& m_members;
  testing::InMemoryKvStore m_store;
  testing::TcpListener* m_port_reservation = nullptr;
  std::vector<HostEnvironment> m_hosts;
  std::uint64_t m_last_connection = 0;
  std::uint64_t m_version = 0;
  nlohmann::json m_configuration;
  /// Era and revision of the store that the hosts were last told of.
  std::pair<std::uint64_t, std::int64_t> m_notified_state;
  TimePoint m_next_copy;
  std::vector<std::string> m_published;
  std::vector<TimePoint> m_last_alive_at;
};

}  // namespace teaselrudder::soak
