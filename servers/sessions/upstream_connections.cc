#include "servers/sessions/upstream_connections.h"

#include <algorithm>
#include <limits>

namespace teaselrudder {

UpstreamConnections::UpstreamConnections(MemberLinkPort& links, MemberLinkEvents& receiver, Counters& counters)
    : m_links(links), m_receiver(receiver), m_counters(counters) {}

MemberConnection* UpstreamConnections::find(ConnectionId connection) {
  const auto found = m_connections.find(connection);
  return found == m_connections.end() ? nullptr : &found->second;
}

bool UpstreamConnections::is_idle(const MemberConnection& connection) {
  return connection.open && connection.expected.empty() && !connection.session.has_value() &&
         !connection.in_transaction;
}

MemberConnection* UpstreamConnections::pick_idle(const UpstreamMember& member, const AccountId& account,
                                                 const SessionValues& values) {
  MemberConnection* best = nullptr;
  std::size_t best_cost = std::numeric_limits<std::size_t>::max();
  for (const ConnectionId id : member.connections) {
    MemberConnection* const connection = find(id);
    if (connection == nullptr || !is_idle(*connection) || connection->account != account) {
      continue;
    }
    const std::size_t cost = setup_cost(connection->session_state, values);
    if (cost < best_cost) {
      best = connection;
      best_cost = cost;
    }
  }
  return best;
}

MemberConnection* UpstreamConnections::pick_idle_of_any_account(const UpstreamMember& member) {
  for (const ConnectionId id : member.connections) {
    MemberConnection* const connection = find(id);
    if (connection != nullptr && is_idle(*connection)) {
      return connection;
    }
  }
  return nullptr;
}

std::size_t UpstreamConnections::even_share(const UpstreamGroup& group) const {
  return std::max<std::size_t>(1, group.configuration().max_connections / m_fleet_size);
}

std::size_t UpstreamConnections::idle_share(const UpstreamGroup& group) const {
  const std::size_t max_connections = group.configuration().max_connections;
  const std::size_t half_of_even_share = max_connections / (2 * m_fleet_size);
  return half_of_even_share == 0 && max_connections * kMaxIdleSharePercent >= m_fleet_size * 100 ? 1
                                                                                                 : half_of_even_share;
}

std::size_t UpstreamConnections::limit(const UpstreamGroup& group, const UpstreamMember& member, TimePoint now) const {
  const bool may_linger = !m_first_opened_at.has_value() || now < *m_first_opened_at + kLingeringConnectionTime;
  const std::size_t share = even_share(group);
  const std::size_t limit = 1 + (may_linger ? std::max<std::size_t>(1, idle_share(group)) : share);
  return member.has_scarce_connections(now) ? std::min(limit, share) : limit;
}

void UpstreamConnections::close_above_limit(UpstreamGroup& group, const UpstreamMember& member, TimePoint now) {
  const std::size_t limit_now = limit(group, member, now);
  const std::vector<ConnectionId> connections = member.connections;
  for (const ConnectionId id : connections) {
    const MemberConnection* const connection = find(id);
    if (member.connections.size() > limit_now && connection != nullptr && is_idle(*connection)) {
      m_counters.count("member_connections_given_up");
      close(group, id);
    }
  }
}

void UpstreamConnections::close_idle_of_other_account(UpstreamGroup& group, const UpstreamMember& member,
                                                      const AccountId& account, TimePoint now) {
  if (is_opening(member, account) || member.connections.size() < limit(group, member, now)) {
    return;
  }
  const MemberConnection* longest_idle = nullptr;
  for (const ConnectionId id : member.connections) {
    const MemberConnection* const connection = find(id);
    const bool is_candidate = connection != nullptr && is_idle(*connection) && connection->account != account;
    if (is_candidate && (longest_idle == nullptr || connection->used_at < longest_idle->used_at)) {
      longest_idle = connection;
    }
  }
  if (longest_idle != nullptr) {
    m_counters.count("member_connections_closed_for_other_account");
    close(group, longest_idle->id);
  }
}

bool UpstreamConnections::is_opening(const UpstreamMember& member, const AccountId& account) const {
  return member.opening > 0 && std::any_of(member.connections.begin(), member.connections.end(), [&](ConnectionId id) {
           const auto found = m_connections.find(id);
           return found != m_connections.end() && !found->second.open && found->second.account == account;
         });
}

bool UpstreamConnections::may_open(const UpstreamGroup& group, const UpstreamMember& member, const AccountId& account,
                                   TimePoint now) const {
  // Only one handshake at a time per member and account, because each takes a slot of the member for as long as one or
  // two reads.
  return !is_opening(member, account) && member.connections.size() < limit(group, member, now) &&
         now >= member.next_connect_at;
}

void UpstreamConnections::open(UpstreamGroup& group, UpstreamMember& member, const AccountId& account, TimePoint now) {
  m_first_opened_at = m_first_opened_at.value_or(now);
  MemberConnection connection;
  connection.id = ConnectionId(m_next_id++);
  connection.group = group.id();
  connection.member = member.entry.member;
  connection.account = account;
  connection.opened_at = now;
  connection.used_at = now;
  member.connections.push_back(connection.id);
  ++member.opening;
  group.on_attempt(connection.member, now);
  m_counters.count("member_connections_opened");
  m_links.open_link(connection.id, {group.id(), connection.member, member.entry.endpoint, account}, m_receiver);
  m_connections.emplace(connection.id, std::move(connection));
}

void UpstreamConnections::on_opened(UpstreamGroup& group, MemberConnection& connection, TimePoint now) {
  connection.open = true;
  connection.used_at = now;
  connection.last_reply_at = now;
  UpstreamMember* const member = group.find(connection.member);
  if (member == nullptr) {
    return;
  }
  --member->opening;
  member->connect_failures = 0;
  group.on_answer(connection.member, false, now);
}

void UpstreamConnections::on_open_failed(UpstreamGroup& group, const MemberConnection& connection,
                                         MemberLinkErrorKind kind, TimePoint now) {
  UpstreamMember* const member = group.find(connection.member);
  if (member != nullptr) {
    if (kind == MemberLinkErrorKind::kTooManyConnections) {
      m_counters.count("member_connection_limit_reached");
      member->next_connect_at = now + kLimitRetryDelay;
      member->limit_reached_at = now;
      group.on_answer(connection.member, false, now);
    } else {
      m_counters.count("member_connections_failed");
      const Duration pause =
          kMinConnectBackoff * (std::int64_t{1} << std::min<std::uint32_t>(member->connect_failures, 4));
      member->next_connect_at = now + std::min(pause, kMaxConnectBackoff);
      ++member->connect_failures;
    }
  }
  forget(group, connection);
}

void UpstreamConnections::send(UpstreamGroup& group, MemberConnection& connection,
                               const std::vector<MemberCommand>& commands, const std::vector<ReplyPurpose>& purposes,
                               TimePoint now) {
  for (const ReplyPurpose purpose : purposes) {
    connection.expected.push_back({purpose, now});
  }
  connection.used_at = now;
  group.on_attempt(connection.member, now);
  m_links.send(connection.id, commands);
}

std::optional<ExpectedReply> UpstreamConnections::take_expected(UpstreamGroup& group, MemberConnection& connection,
                                                                TimePoint now) {
  if (connection.expected.empty()) {
    return std::nullopt;
  }
  const ExpectedReply expected = connection.expected.front();
  connection.expected.pop_front();
  connection.last_reply_at = now;
  const UpstreamMember* const member = group.find(connection.member);
  if (member != nullptr) {
    const bool waiting = std::any_of(member->connections.begin(), member->connections.end(), [this](ConnectionId id) {
      const auto found = m_connections.find(id);
      return found != m_connections.end() && (!found->second.open || !found->second.expected.empty());
    });
    group.on_answer(connection.member, waiting, now);
  }
  return expected;
}

void UpstreamConnections::close(UpstreamGroup& group, ConnectionId connection) {
  const MemberConnection* const known = find(connection);
  if (known == nullptr) {
    return;
  }
  m_links.close_link(connection);
  forget(group, *known);
}

void UpstreamConnections::forget(UpstreamGroup& group, const MemberConnection& connection) {
  const ConnectionId id = connection.id;
  UpstreamMember* const member = group.find(connection.member);
  if (member != nullptr) {
    if (!connection.open && member->opening > 0) {
      --member->opening;
    }
    std::erase(member->connections, id);
  }
  m_connections.erase(id);
}

std::size_t UpstreamConnections::pinned_count(const UpstreamMember& member) const {
  return static_cast<std::size_t>(
      std::count_if(member.connections.begin(), member.connections.end(), [this](ConnectionId id) {
        const auto found = m_connections.find(id);
        return found != m_connections.end() && found->second.pinned;
      }));
}

std::vector<ConnectionId> UpstreamConnections::unanswered_since(const UpstreamGroup& group, TimePoint since) const {
  std::vector<ConnectionId> unanswered;
  for (const auto& [id, connection] : m_connections) {
    const bool serves_nobody = !connection.open || is_idle(connection);
    if (connection.group == group.id() && serves_nobody && connection.last_reply_at < since) {
      unanswered.push_back(id);
    }
  }
  return unanswered;
}

std::vector<ConnectionId> UpstreamConnections::overdue(TimePoint now) const {
  std::vector<ConnectionId> overdue;
  for (const auto& [id, connection] : m_connections) {
    const bool opening_too_long = !connection.open && connection.opened_at + kOpenTimeout <= now;
    const bool abandoned = connection.open && !connection.session.has_value() && !connection.expected.empty() &&
                           connection.expected.front().sent_at + kAbandonTimeout <= now;
    if (opening_too_long || abandoned) {
      overdue.push_back(id);
    }
  }
  return overdue;
}

Duration UpstreamConnections::idle_timeout(const UpstreamGroup& group, const UpstreamMember& member,
                                           TimePoint now) const {
  if (idle_share(group) > 0) {
    return kIdleTimeout;
  }
  return member.has_scarce_connections(now) ? kIdleTimeoutNearLimit : kIdleTimeoutWithoutShare;
}

std::vector<ConnectionId> UpstreamConnections::excess_connections(const UpstreamGroup& group,
                                                                  const UpstreamMember& member, TimePoint now) const {
  std::vector<ConnectionId> closing;
  std::size_t left = member.connections.size();
  const std::size_t connections_to_keep = idle_share(group);
  const bool unused = member.leaving_since.has_value() && group.primary() != member.entry.member;
  for (const ConnectionId id : member.connections) {
    const auto found = m_connections.find(id);
    if (found == m_connections.end() || !is_idle(found->second)) {
      continue;
    }
    const bool above_idle_share =
        left > connections_to_keep && found->second.used_at + idle_timeout(group, member, now) <= now;
    if (unused || above_idle_share) {
      closing.push_back(id);
      --left;
    }
  }
  return closing;
}

}  // namespace teaselrudder
