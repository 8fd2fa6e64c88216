#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/config/configuration.h"
#include "core/time.h"
#include "servers/operator/command.h"

namespace teaselrudder {

/// A value in the result of a query; std::monostate is null.
using CellValue = std::variant<std::monostate, bool, std::uint64_t, std::string>;

/// A row of a query result, in the order of show_columns().
using CellRow = std::vector<CellValue>;

/// Names of the tables that SHOW can query, in the order of ShowTarget.
constexpr std::array<std::string_view, 10> show_target_names() {
  return {"hosts",    "groups",  "upstreams",     "services", "queues",
          "refusals", "retries", "configuration", "versions", "decisions"};
}

/// Returns the column names of `target`.
std::vector<std::string_view> show_columns(ShowTarget target);

/// Provides the tables that operators can query on a host.
class OperatorView {
 public:
  OperatorView() = default;
  OperatorView(const OperatorView&) = delete;
  OperatorView& operator=(const OperatorView&) = delete;
  virtual ~OperatorView() = default;

  /// Returns all rows of `target`.
  virtual std::vector<CellRow> show_rows(ShowTarget target, TimePoint now) const = 0;
};

}  // namespace teaselrudder
