#pragma once

#include <compare>
#include <optional>
#include <string>
#include <utility>

#include "core/ids.h"

namespace teaselrudder {

/// Secret with which a caller proves that it belongs to a client account. It can only be compared: its text cannot be
/// read back or printed, so that it appears in no log line, metric, message or record.
class AccessKey {
 public:
  AccessKey() = default;
  explicit AccessKey(std::string text) : m_text(std::move(text)) {}

  friend bool operator==(const AccessKey&, const AccessKey&) = default;
  friend auto operator<=>(const AccessKey&, const AccessKey&) = default;

 private:
  std::string m_text;
};

/// Limit on the operations of an account on all hosts together: a token bucket. An operation is a single statement or
/// a whole transaction.
struct AccountQuota {
  /// Operations per second.
  double rate = 0;
  /// Operations that may be admitted at once.
  double burst = 0;

  friend bool operator==(const AccountQuota&, const AccountQuota&) = default;
};

/// A client account in the operator's configuration.
struct ClientAccount {
  AccountId account;
  /// Nothing if the operations of the account are not limited.
  std::optional<AccountQuota> quota;
};

}  // namespace teaselrudder
