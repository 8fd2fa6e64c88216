#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/config/configuration.h"
#include "servers/operator/command.h"
#include "tl/expected.hpp"

namespace teaselrudder {

/// A field that differs between two configurations. A value is nullopt where the item does not exist.
struct ConfigurationDifference {
  /// For example `group g1/member m1` or `service bookings`.
  std::string item;
  std::string field;
  std::optional<std::string> from;
  std::optional<std::string> to;

  friend bool operator==(const ConfigurationDifference&, const ConfigurationDifference&) = default;
};

/// Applies `changes` to `base` in order and validates the result, which keeps the version of `base`. The error has the
/// position of the failing statement, or of the first one if the result as a whole violates a rule.
tl::expected<Configuration, CommandError> edit_configuration(const Configuration& base,
                                                             const std::vector<LocatedChange>& changes);

/// Returns the differences between `from` and `to`, sorted by item and field. Versions and change ids are ignored.
std::vector<ConfigurationDifference> find_differences(const Configuration& from, const Configuration& to);

}  // namespace teaselrudder
