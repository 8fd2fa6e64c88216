#pragma once

#include <string>

#include "core/ids.h"
#include "core/refusal.h"
#include "core/request.h"
#include "tl/expected.hpp"

namespace teaselrudder {

/// Answer to a request that was served.
struct CallerAnswer {
  std::vector<ResultSet> results;
  /// The session token to send with the next request.
  std::string token;
  RequestId request_id;
  MemberId served_by;
  TransactionHandle transaction;
};

/// Answer to a request that was refused.
struct CallerRefusal {
  Refusal refusal;
  /// The session token to send with the next request; empty if the request had no valid token and a new one is not
  /// needed.
  std::string token;
  /// The id with which the request can be retried; empty if no id was assigned.
  RequestId request_id;
};

/// Sends answers to callers.
class CallerPort {
 public:
  CallerPort() = default;
  CallerPort(const CallerPort&) = delete;
  CallerPort& operator=(const CallerPort&) = delete;
  virtual ~CallerPort() = default;

  /// Sends the answer to a request, exactly once per request. It is dropped if the caller has disconnected.
  virtual void answer(CallerRequestId request, tl::expected<CallerAnswer, CallerRefusal> outcome) = 0;
};

/// Receives requests from callers.
class CallerEvents {
 public:
  CallerEvents() = default;
  CallerEvents(const CallerEvents&) = delete;
  CallerEvents& operator=(const CallerEvents&) = delete;
  virtual ~CallerEvents() = default;

  virtual void on_caller_request(CallerRequestId id, Request request, TimePoint now) = 0;
  /// The caller closed its connection before the answer was sent.
  virtual void on_caller_disconnected(CallerRequestId id, TimePoint now) = 0;
};

}  // namespace teaselrudder
