#pragma once

#include <string>

#include "core/ids.h"
#include "core/time.h"

namespace teaselrudder {

/// One operator's command that is open at this host.
using OperatorRequestId = StrongType<struct OperatorRequestIdTag, std::uint64_t>;

/// How an operator's command ended.
enum class OperatorOutcome { kDone, kInvalid, kRefused };

/// Answer to an operator's command.
struct OperatorAnswer {
  OperatorOutcome outcome = OperatorOutcome::kDone;
  /// The result or the error as a JSON document.
  std::string json;
};

/// Answers to operators.
class OperatorPort {
 public:
  OperatorPort() = default;
  OperatorPort(const OperatorPort&) = delete;
  OperatorPort& operator=(const OperatorPort&) = delete;
  virtual ~OperatorPort() = default;

  /// Sends the one answer to a command. An answer whose operator is gone is dropped.
  virtual void answer(OperatorRequestId request, OperatorAnswer answer) = 0;
};

/// Receives commands of operators.
class OperatorEvents {
 public:
  OperatorEvents() = default;
  OperatorEvents(const OperatorEvents&) = delete;
  OperatorEvents& operator=(const OperatorEvents&) = delete;
  virtual ~OperatorEvents() = default;

  /// `command` is one or more statements of the operators' language. With `check_only` nothing is applied.
  virtual void on_operator_command(OperatorRequestId request, std::string command, bool check_only, TimePoint now) = 0;
};

}  // namespace teaselrudder
