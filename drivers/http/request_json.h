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

/// Limits for the parts of a request; the lengths are in bytes. The maximum size of the whole body is a setting.
inline constexpr std::size_t kMaxStatementsPerRequest = 256;
inline constexpr std::size_t kMaxRequestIdLength = 128;
inline constexpr std::size_t kMaxTransactionHandleLength = 256;
/// Maximum nesting depth of the JSON body. A valid request has at most 4 levels.
inline constexpr int kMaxJsonDepth = 8;

/// The parsed path of a request.
struct CallerRoute {
  /// Set if the path addresses a service; empty otherwise.
  ServiceName service;
  TransactionStep step = TransactionStep::kNone;
  /// Set if the path addresses an open transaction; empty otherwise.
  TransactionHandle transaction;
};

/// Parses a path of the caller protocol. Returns nothing if the protocol has no such path.
std::optional<CallerRoute> parse_route(std::string_view path);

/// Parses the body of a request. An empty body is treated as `{}`. Unknown fields, repeated fields and fields that the
/// route does not allow are refused, so that a misspelt field is not silently ignored. All refusals have `ran: no`.
tl::expected<Request, Refusal> parse_request(const CallerRoute& route, std::string_view body);

/// Returns the JSON response body for an answer.
std::string write_answer(const CallerAnswer& answer);

/// Returns the JSON response body for a refusal.
std::string write_refusal(const CallerRefusal& refusal);

/// Returns the HTTP status code of refusals with `reason`.
int http_status(RefusalReason reason);

}  // namespace teaselrudder
