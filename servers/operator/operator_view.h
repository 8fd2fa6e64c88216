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

/// A value in the answer to a query; the empty alternative is null.
using CellValue = std::variant<std::monostate, bool, std::uint64_t, std::string>;

/// One row of an answer, in the order of show_columns().
using CellRow = std::vector<CellValue>;

/// Names of what SHOW can show, in the order of ShowTarget.
constexpr std::array<std::string_view, 10> show_target_names() {
  return {"hosts",    "groups",  "upstreams",     "services", "queues",
          "refusals", "retries", "configuration", "versions", "decisions"};
}

/// Returns the columns of `target`.
std::vector<std::string_view> show_columns(ShowTarget target);

/// Gives what operators can ask of a host.
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
