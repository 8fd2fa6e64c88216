#pragma once

#include <string>

#include "core/ids.h"
#include "core/time.h"

namespace teaselrudder {

/// Identifies an operator's command that this host has not answered yet.
using OperatorRequestId = StrongType<struct OperatorRequestIdTag, std::uint64_t>;

/// Outcome of an operator's command: carried out, not understood or against a rule, or not carried out although valid.
enum class OperatorOutcome { kDone, kInvalid, kRefused };

/// Answer to an operator's command.
struct OperatorAnswer {
  OperatorOutcome outcome = OperatorOutcome::kDone;
  /// The result or the error as a JSON document.
  std::string json;
};

/// Sends answers to operators.
class OperatorPort {
 public:
  OperatorPort() = default;
  OperatorPort(const OperatorPort&) = delete;
  OperatorPort& operator=(const OperatorPort&) = delete;
  virtual ~OperatorPort() = default;

  /// Sends the answer to a command, exactly once per command. It is dropped if the operator has disconnected.
  virtual void answer(OperatorRequestId request, OperatorAnswer answer) = 0;
};

/// Receives commands from operators.
class OperatorEvents {
 public:
  OperatorEvents() = default;
  OperatorEvents(const OperatorEvents&) = delete;
  OperatorEvents& operator=(const OperatorEvents&) = delete;
  virtual ~OperatorEvents() = default;

  /// An operator sent `command`, one or more statements of the command language. With `check_only` the command is
  /// checked but changes nothing.
  virtual void on_operator_command(OperatorRequestId request, std::string command, bool check_only, TimePoint now) = 0;
};

}  // namespace teaselrudder
