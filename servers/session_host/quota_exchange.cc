#include "servers/session_host/quota_exchange.h"

#include <algorithm>
#include <set>
#include <utility>

namespace teaselrudder {

QuotaExchange::QuotaExchange(HostId self, QuotaPolicy policy, QuotaExchangeServices services)
    : m_self(self), m_policy(policy), m_services(services), m_allocator(policy), m_choice(std::move(self)) {
  m_services.sessions.set_quota_listener(*this);
}

void QuotaExchange::configure(const std::map<AccountId, ClientAccount>& accounts) {
  m_allocator.configure(accounts);
  m_has_quotas = std::any_of(accounts.begin(), accounts.end(),
                             [](const auto& account) { return account.second.quota.has_value(); });
}

void QuotaExchange::on_hosts_changed(TimePoint now) {
  if (!m_has_quotas) {
    return;
  }
  std::set<HostId> others;
  for (const auto& [id, host] : m_services.hosts.all()) {
    others.insert(id);
  }
  m_choice.set_hosts(others);
  update_fleet_size(others.size() + 1, now);
}

void QuotaExchange::update_fleet_size(std::size_t known_hosts, TimePoint now) {
  const std::uint64_t departed = m_services.hosts.departures() - m_departures;
  m_departures += departed;
  m_fleet_size -= std::min<std::uint64_t>(departed, m_fleet_size);
  if (known_hosts >= m_fleet_size || now >= m_fleet_size_at + kFleetSizeRetention) {
    m_fleet_size = known_hosts;
    m_fleet_size_at = now;
  }
  m_allocator.set_fleet_size(m_fleet_size);
}

void QuotaExchange::on_message(const QuotaMessage& message, TimePoint now) {
  if (m_services.hosts.find(message.sender) == nullptr) {
    m_services.counters.count("quota_messages_of_unknown_hosts");
    return;
  }
  if (message.is_answer) {
    m_choice.on_answer(message.sender);
    m_services.sessions.on_tokens_granted(message.tokens, now);
    return;
  }
  for (std::size_t shard = 0; shard < kQuotaShards; ++shard) {
    const std::uint32_t bit = 1U << shard;
    if ((message.pledged_shards & bit) != 0) {
      m_allocator.on_pledge(shard, message.sender, (message.credited_shards & bit) != 0, now);
    }
  }
  QuotaMessage answer;
  answer.is_answer = true;
  for (const QuotaTokens& wanted : message.tokens) {
    answer.tokens.push_back(m_allocator.allocate(message.sender, wanted, now));
    m_services.counters.count(answer.tokens.back().tokens < wanted.tokens ? "quota_grants_short" : "quota_grants_full");
  }
  send(message.sender, std::move(answer), now);
}

void QuotaExchange::on_tokens_needed(TimePoint now) {
  const std::vector<QuotaTokens> requests = m_services.sessions.quota().take_requests(now);
  if (!is_settled(now)) {
    // They are repeated until this host takes part.
    return;
  }
  std::map<HostId, QuotaMessage> messages;
  std::vector<QuotaTokens> granted;
  for (const QuotaTokens& request : requests) {
    const HostId& allocator = m_choice.allocator(quota_shard(request.account));
    if (allocator == m_self) {
      granted.push_back(m_allocator.allocate(m_self, request, now));
    } else if (messages[allocator].tokens.size() < kMaxQuotaEntries) {
      messages[allocator].tokens.push_back(request);
    }
  }
  for (auto& [host, message] : messages) {
    send(host, std::move(message), now);
  }
  if (!granted.empty()) {
    m_services.sessions.on_tokens_granted(granted, now);
  }
}

void QuotaExchange::on_tick(bool has_read_store, TimePoint now) {
  if (!m_has_quotas) {
    return;
  }
  if (has_read_store && !m_settled_at.has_value()) {
    m_settled_at = now + kSettlingTime;
  }
  for (const HostId& host : m_choice.take_silent(now)) {
    m_services.counters.count("quota_allocators_lost");
    m_services.log.log_state_change("quota_allocator_lost", {{"allocator", host.value()}});
  }
  if (is_settled(now) && now >= m_next_pledges) {
    m_next_pledges = now + kPledgeInterval;
    send_pledges(now);
  }
  on_tokens_needed(now);
}

void QuotaExchange::send_pledges(TimePoint now) {
  std::map<HostId, QuotaMessage> messages;
  for (std::size_t shard = 0; shard < kQuotaShards; ++shard) {
    pledge(shard, messages, now);
  }
  for (const HostId& host : m_choice.take_probes(now)) {
    messages.try_emplace(host);
  }
  for (auto& [host, message] : messages) {
    send(host, std::move(message), now);
  }
}

void QuotaExchange::pledge(std::size_t shard, std::map<HostId, QuotaMessage>& messages, TimePoint now) {
  const HostId& allocator = m_choice.allocator(shard);
  Pledge& pledge = m_pledges[shard];
  const bool is_new = pledge.allocator != allocator;
  if (is_new && now < pledge.sent_at + kPledgeLifetime) {
    messages.try_emplace(allocator);
    return;
  }
  const bool credits = is_new && now >= pledge.credited_at + m_policy.window;
  if (credits) {
    pledge.credited_at = now;
  }
  pledge.allocator = allocator;
  pledge.sent_at = now;
  if (allocator == m_self) {
    m_allocator.on_pledge(shard, m_self, credits, now);
    return;
  }
  QuotaMessage& message = messages[allocator];
  message.pledged_shards |= 1U << shard;
  message.credited_shards |= credits ? 1U << shard : 0U;
}

TimePoint QuotaExchange::next_wakeup() const {
  if (!m_has_quotas) {
    return TimePoint::max();
  }
  return std::min(m_settled_at.has_value() ? std::max(*m_settled_at, m_next_pledges) : TimePoint::max(),
                  m_choice.next_wakeup());
}

void QuotaExchange::send(const HostId& host, QuotaMessage message, TimePoint now) {
  const KnownHosts::Host* const known = m_services.hosts.find(host);
  if (known == nullptr) {
    return;
  }
  if (!message.is_answer) {
    m_services.counters.count("quota_requests");
    m_choice.on_sent(host, now);
  }
  message.sender = m_self;
  m_services.port.send_quota_message(known->endpoint, message);
}

}  // namespace teaselrudder
