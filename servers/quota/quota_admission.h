#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "core/client_account.h"
#include "core/ports/quota_messages.h"
#include "core/time.h"
#include "servers/quota/quota_policy.h"
#include "servers/quota/rate_estimator.h"

namespace teaselrudder {

/// What happens to an operation that needs a token of its account.
enum class QuotaDecision {
  kAdmitted,
  kWaiting,  // The allocator is asked for tokens.
  kRefused,  // The quota is used up.
};

/// Admits the operations of client accounts on one host with tokens that the allocator grants. Requests tokens for
/// waiting operations, and for accounts with a steady load a little ahead, so that most operations need not wait.
class QuotaAdmission {
 public:
  /// Time after which a request without an answer is sent again.
  static constexpr Duration kRetryInterval = std::chrono::milliseconds(40);
  /// Time after a grant of fewer tokens than needed in which operations without a token are refused at once.
  static constexpr Duration kRefusalTime = std::chrono::milliseconds(50);
  /// Time for which an account with a steady load holds tokens in advance.
  static constexpr Duration kPrefetchTime = std::chrono::milliseconds(150);

  /// Requests are numbered from `first_request` on. Processes of the same host should begin at different numbers, so
  /// that a request of one is not taken for a repeated one of another.
  explicit QuotaAdmission(QuotaPolicy policy, std::uint64_t first_request = 0)
      : m_policy(policy), m_last_request(first_request) {}

  /// Applies the quotas in a new version of the configuration.
  void configure(const std::map<AccountId, ClientAccount>& accounts);

  /// Decides on an operation. Operations of an account without a quota are always admitted.
  QuotaDecision admit(const AccountId& account, TimePoint now);

  /// Sets the number of operations of the account that wait after admit() returned kWaiting.
  void set_waiting(const AccountId& account, std::size_t operations);

  /// Returns the tokens to request now, and notes that they were requested.
  std::vector<QuotaTokens> take_requests(TimePoint now);

  /// Notes an answer of the allocator. Answers to any but the newest request of the account grant nothing.
  void on_grant(const QuotaTokens& granted, TimePoint now);

  /// Returns the time at which take_requests() has to be called next.
  TimePoint next_wakeup() const;

  /// Returns the admitted and refused operations of each account in the Prometheus text format.
  std::string metrics() const;

 private:
  struct Grant {
    std::uint32_t tokens = 0;
    TimePoint valid_until;
  };

  struct Account {
    AccountQuota quota;
    std::deque<Grant> grants;
    std::size_t waiting = 0;
    /// Newest request; no tokens if it was answered.
    std::uint32_t requested = 0;
    std::uint64_t request = 0;
    TimePoint requested_at;
    /// Earliest time of the next request.
    TimePoint next_request;
    TimePoint refused_until;
    RateEstimator admitted_rate;
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
  };

  static bool take_token(Account& account, TimePoint now);
  static std::uint32_t tokens_left(const Account& account, TimePoint now);
  /// Returns the number of tokens to request for the account.
  static std::uint32_t tokens_needed(const Account& account, TimePoint now);
  /// Notes that tokens of the account are requested now, with the same number if the last request lacks an answer.
  QuotaTokens make_request(const AccountId& id, Account& account, std::uint32_t tokens, TimePoint now);

  QuotaPolicy m_policy;
  std::map<AccountId, Account> m_accounts;
  /// Accounts that may need tokens.
  std::map<AccountId, TimePoint> m_due;
  std::uint64_t m_last_request;
};

}  // namespace teaselrudder
