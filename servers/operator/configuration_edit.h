#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/config/configuration.h"
#include "servers/operator/command.h"
#include "tl/expected.hpp"

namespace teaselrudder {

/// One field that differs between two configurations; an absent value means that the item does not exist there.
struct ConfigurationDifference {
  /// For example `group g1/member m1` or `service bookings`.
  std::string item;
  std::string field;
  std::optional<std::string> from;
  std::optional<std::string> to;

  friend bool operator==(const ConfigurationDifference&, const ConfigurationDifference&) = default;
};

/// Applies `changes` in order to `base`, keeping the version. The error points at the statement that breaks a rule.
tl::expected<Configuration, CommandError> edit_configuration(const Configuration& base,
                                                             const std::vector<LocatedChange>& changes);

/// Returns what differs between `from` and `to`, sorted by item and field; versions and change ids do not count.
std::vector<ConfigurationDifference> find_differences(const Configuration& from, const Configuration& to);

}  // namespace teaselrudder
