#include "servers/host/peer_call_table.h"

#include <algorithm>
#include <utility>

namespace teaselrudder {

namespace {

const HostId& host_of(const CallPurpose& purpose) {
  return std::visit([](const auto& call) -> const HostId& { return call.host; }, purpose);
}

}  // namespace

void PeerCallTable::add(PeerCallId call, CallPurpose purpose) {
  if (const auto* const probe = std::get_if<ProbeCall>(&purpose)) {
    m_hosts[probe->host].probes.insert(call);
  }
  m_calls.emplace(call, std::move(purpose));
}

void PeerCallTable::add_forward(PeerCallId call, ForwardCall forward, TimePoint now) {
  m_hosts[forward.host].forwards.emplace(call, now);
  m_calls.emplace(call, std::move(forward));
}

std::optional<CallPurpose> PeerCallTable::take(PeerCallId call, bool answered, TimePoint now) {
  auto node = m_calls.extract(call);
  if (node.empty()) {
    return std::nullopt;
  }
  const HostId& host = host_of(node.mapped());
  const auto calls = m_hosts.find(host);
  if (answered && calls != m_hosts.end()) {
    calls->second.answered_at = now;
  }
  remove_from_host(host, call);
  return std::move(node.mapped());
}

void PeerCallTable::remove_from_host(const HostId& host, PeerCallId call) {
  const auto calls = m_hosts.find(host);
  if (calls == m_hosts.end()) {
    return;
  }
  calls->second.forwards.erase(call);
  calls->second.probes.erase(call);
  if (calls->second.forwards.empty() && calls->second.probes.empty()) {
    m_hosts.erase(calls);
  }
}

std::optional<TimePoint> PeerCallTable::silent_at(const HostCalls& calls) {
  if (calls.forwards.empty() || !calls.probes.empty()) {
    return std::nullopt;
  }
  return std::max(calls.forwards.begin()->second, calls.answered_at) + kSilenceUntilProbe;
}

std::vector<HostId> PeerCallTable::silent_hosts(TimePoint now) const {
  std::vector<HostId> silent;
  for (const auto& [host, calls] : m_hosts) {
    const std::optional<TimePoint> at = silent_at(calls);
    if (at.has_value() && *at <= now) {
      silent.push_back(host);
    }
  }
  return silent;
}

std::optional<TimePoint> PeerCallTable::next_check() const {
  std::optional<TimePoint> earliest;
  for (const auto& [host, calls] : m_hosts) {
    const std::optional<TimePoint> at = silent_at(calls);
    if (at.has_value()) {
      earliest = std::min(earliest.value_or(*at), *at);
    }
  }
  return earliest;
}

std::vector<ExecutionId> PeerCallTable::take_forwards(const HostId& host) {
  const auto found = m_hosts.find(host);
  if (found == m_hosts.end()) {
    return {};
  }
  std::vector<ExecutionId> executions;
  for (const auto& [call, sent_at] : found->second.forwards) {
    executions.push_back(std::get<ForwardCall>(m_calls.at(call)).execution);
    m_calls.erase(call);
  }
  found->second.forwards.clear();
  if (found->second.probes.empty()) {
    m_hosts.erase(found);
  }
  return executions;
}

}  // namespace teaselrudder
