#pragma once

#include <uv.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "tests/model/replicated_members.h"
#include "tests/soak/host_process.h"
#include "tests/soak/member_gateway.h"
#include "tests/soak/report_relay.h"
#include "tests/stand_ins/kv_content.h"
#include "tests/stand_ins/platform_server.h"

namespace teaselrudder::soak {

/// The outside of all hosts of a soak run: the platform, the members and the ways between hosts, each with a port of
/// its own for each host, so that every way can fail by itself. The platform tells each host the addresses that are
/// meant for it.
class SoakNetwork {
 public:
  struct HostSide {
    HostProcess::Ports ports;
    std::unique_ptr<MemberLinkPort> links;
    std::unique_ptr<testing::PlatformServer> platform;
    std::vector<std::unique_ptr<MemberGateway>> members;
    /// Ways to the other hosts, by their number; null for the host itself.
    std::vector<ReportRelay*> reports;
  };

  SoakNetwork(uv_loop_t* loop, model::EventQueue& events, model::ReplicatedMembers& members, std::size_t hosts);
  SoakNetwork(const SoakNetwork&) = delete;
  SoakNetwork& operator=(const SoakNetwork&) = delete;
  ~SoakNetwork();

  static std::string host_name(std::size_t host) { return "host" + std::to_string(host); }
  HostSide& host(std::size_t index) { return m_hosts[index]; }
  std::size_t size() const { return m_hosts.size(); }
  testing::KvContent& store() { return m_store; }

  /// Writes the configuration of the operator in a new version.
  void publish_configuration();
  /// Writes the entry of a member that is about to run again.
  void announce_member(std::size_t index);
  /// Writes the entries of members that changed, and removes those of members that stay away.
  void publish_members();
  /// Does what is due in the store.
  void on_tick();

  /// A host in a cut reaches only the hosts of the same side, and neither platform nor members.
  void isolate(std::size_t host, bool isolated);

 private:
  std::string member_key(std::size_t index) const;
  std::string seen_by(std::size_t host, const std::string& key, const std::string& value) const;

  model::EventQueue& m_events;
  model::ReplicatedMembers& m_members;
  testing::KvContent m_store;
  testing::TcpListener* m_reservation = nullptr;
  std::vector<HostSide> m_hosts;
  std::uint64_t m_last_connection = 0;
  std::uint64_t m_version = 0;
  std::int64_t m_told_revision = 0;
  std::vector<std::string> m_published;
  std::vector<TimePoint> m_seen_alive;
};

}  // namespace teaselrudder::soak
