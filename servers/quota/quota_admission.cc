#include "servers/quota/quota_admission.h"

#include <algorithm>

namespace teaselrudder {

namespace {

constexpr double kPrefetchSeconds = std::chrono::duration<double>(QuotaAdmission::kPrefetchTime).count();

}  // namespace

void QuotaAdmission::configure(const std::map<AccountId, ClientAccount>& accounts) {
  const auto has_quota = [&accounts](const AccountId& id) {
    const auto found = accounts.find(id);
    return found != accounts.end() && found->second.quota.has_value();
  };
  std::erase_if(m_accounts, [&](const auto& known) { return !has_quota(known.first); });
  std::erase_if(m_due, [&](const auto& due) { return !has_quota(due.first); });
  for (const auto& [id, account] : accounts) {
    if (account.quota.has_value()) {
      m_accounts[id].quota = *account.quota;
    }
  }
}

QuotaDecision QuotaAdmission::admit(const AccountId& id, TimePoint now) {
  const auto found = m_accounts.find(id);
  if (found == m_accounts.end()) {
    return QuotaDecision::kAdmitted;
  }
  Account& account = found->second;
  if (take_token(account, now)) {
    ++account.admitted;
    account.admitted_rate.add(1, now);
    if (tokens_needed(account, now) > 0) {
      m_due[id] = account.next_request;
    }
    return QuotaDecision::kAdmitted;
  }
  if (now < account.refused_until) {
    ++account.refused;
    return QuotaDecision::kRefused;
  }
  return QuotaDecision::kWaiting;
}

void QuotaAdmission::set_waiting(const AccountId& id, std::size_t operations) {
  const auto found = m_accounts.find(id);
  if (found == m_accounts.end()) {
    return;
  }
  found->second.waiting = operations;
  if (operations > 0) {
    m_due[id] = found->second.next_request;
  }
}

std::vector<QuotaTokens> QuotaAdmission::take_requests(TimePoint now) {
  std::vector<QuotaTokens> requests;
  for (auto due = m_due.begin(); due != m_due.end();) {
    Account& account = m_accounts.at(due->first);
    const std::uint32_t tokens = tokens_needed(account, now);
    if (tokens == 0) {
      due = m_due.erase(due);
      continue;
    }
    if (due->second <= now) {
      requests.push_back(make_request(due->first, account, tokens, now));
      due->second = account.next_request;
    }
    ++due;
  }
  return requests;
}

QuotaTokens QuotaAdmission::make_request(const AccountId& id, Account& account, std::uint32_t tokens, TimePoint now) {
  const bool is_sent_again = account.requested > 0 && now < account.requested_at + m_policy.token_lifetime();
  if (!is_sent_again) {
    account.request = ++m_last_request;
    account.requested = tokens;
    account.requested_at = now;
  }
  account.next_request = now + kRetryInterval;
  return {id, account.requested, account.request};
}

void QuotaAdmission::on_grant(const QuotaTokens& granted, TimePoint now) {
  const auto found = m_accounts.find(granted.account);
  if (found == m_accounts.end() || found->second.request != granted.request || found->second.requested == 0) {
    return;
  }
  Account& account = found->second;
  const TimePoint valid_until = account.requested_at + m_policy.token_lifetime();
  if (granted.tokens > 0 && now < valid_until) {
    account.grants.push_back({granted.tokens, valid_until});
  }
  const bool is_short = granted.tokens < account.requested;
  if (is_short) {
    account.refused_until = now + kRefusalTime;
  }
  account.next_request = is_short ? account.refused_until : now;
  account.requested = 0;
  m_due.erase(granted.account);
}

bool QuotaAdmission::take_token(Account& account, TimePoint now) {
  while (!account.grants.empty()) {
    Grant& grant = account.grants.front();
    if (grant.tokens == 0 || grant.valid_until <= now) {
      account.grants.pop_front();
      continue;
    }
    --grant.tokens;
    return true;
  }
  return false;
}

std::uint32_t QuotaAdmission::tokens_left(const Account& account, TimePoint now) {
  std::uint32_t tokens = 0;
  for (const Grant& grant : account.grants) {
    tokens += grant.valid_until > now ? grant.tokens : 0;
  }
  return tokens;
}

std::uint32_t QuotaAdmission::tokens_needed(const Account& account, TimePoint now) {
  const std::uint32_t left = tokens_left(account, now);
  const auto in_advance = static_cast<std::uint32_t>(account.admitted_rate.per_second(now) * kPrefetchSeconds);
  const auto waiting = static_cast<std::uint32_t>(account.waiting);
  if (waiting == 0 && left * 2 > in_advance) {
    return 0;
  }
  const std::uint32_t wanted = waiting + in_advance;
  return wanted > left ? wanted - left : 0;
}

TimePoint QuotaAdmission::next_wakeup() const {
  TimePoint next = TimePoint::max();
  for (const auto& [id, at] : m_due) {
    next = std::min(next, at);
  }
  return next;
}

std::string QuotaAdmission::metrics() const {
  std::string text;
  for (const auto& [id, account] : m_accounts) {
    const std::string label = "{account=\"" + id.value() + "\"} ";
    text += "teaselrudder_account_operations_admitted" + label + std::to_string(account.admitted) + "\n";
    text += "teaselrudder_account_operations_refused" + label + std::to_string(account.refused) + "\n";
  }
  return text;
}

}  // namespace teaselrudder
