#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/ids.h"
#include "core/ports/caller_port.h"
#include "core/refusal.h"
#include "core/request.h"
#include "tl/expected.hpp"

namespace teaselrudder {

/// Bounds on the parts of a request. The size of the whole body is a setting.
inline constexpr std::size_t kMaxStatementsPerRequest = 256;
inline constexpr std::size_t kMaxRequestIdLength = 128;
inline constexpr std::size_t kMaxTransactionHandleLength = 256;
/// A valid request nests 4 levels deep.
inline constexpr int kMaxJsonDepth = 8;

/// What the path of a request says.
struct CallerRoute {
  /// Set for requests that address a service.
  ServiceName service;
  TransactionStep step = TransactionStep::kNone;
  /// Set for requests that address an open transaction.
  TransactionHandle transaction;
};

/// Reads a path of the caller protocol, or returns nothing if no such path exists.
std::optional<CallerRoute> parse_route(std::string_view path);

/// Reads the body of a request. An empty body stands for `{}`. Unknown fields, repeated fields and fields that the
/// route does not allow are refused, so that a misspelt field cannot silently weaken a request. All refusals have
/// `ran: no`.
tl::expected<Request, Refusal> parse_request(const CallerRoute& route, std::string_view body);

/// Writes the body of an answer.
std::string write_answer(const CallerAnswer& answer);

/// Writes the body of a refusal.
std::string write_refusal(const CallerRefusal& refusal);

/// Returns the HTTP status of refusals with `reason`.
int http_status(RefusalReason reason);

}  // namespace teaselrudder
