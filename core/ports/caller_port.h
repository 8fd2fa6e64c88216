#pragma once

#include <string>

#include "core/ids.h"
#include "core/refusal.h"
#include "core/request.h"
#include "tl/expected.hpp"

namespace teaselrudder {

/// What a caller receives for a served request.
struct CallerAnswer {
  std::vector<ResultSet> results;
  /// The session token to send with the next request.
  std::string token;
  RequestId request_id;
  MemberId served_by;
  TransactionHandle transaction;
};

/// What a caller receives for a refused request.
struct CallerRefusal {
  Refusal refusal;
  /// The session token to send with the next request; empty if the request brought no valid one and none is due.
  std::string token;
  /// The id under which the request can be repeated; empty if it got none.
  RequestId request_id;
};

/// Answers to callers.
class CallerPort {
 public:
  CallerPort() = default;
  CallerPort(const CallerPort&) = delete;
  CallerPort& operator=(const CallerPort&) = delete;
  virtual ~CallerPort() = default;

  /// Sends the one answer to a request. An answer whose caller is gone is dropped.
  virtual void answer(CallerRequestId request, tl::expected<CallerAnswer, CallerRefusal> outcome) = 0;
};

/// Receives requests of callers.
class CallerEvents {
 public:
  CallerEvents() = default;
  CallerEvents(const CallerEvents&) = delete;
  CallerEvents& operator=(const CallerEvents&) = delete;
  virtual ~CallerEvents() = default;

  virtual void on_caller_request(CallerRequestId id, Request request, TimePoint now) = 0;
  /// The caller closed its connection before the answer.
  virtual void on_caller_gone(CallerRequestId id, TimePoint now) = 0;
};

}  // namespace teaselrudder
