#pragma once

#include "core/config/configuration.h"
#include "core/request.h"
#include "core/session/session_token.h"
#include "tl/expected.hpp"

namespace teaselrudder {

/// Limits on one request. Lengths are in bytes, and kMaxParameters applies to each statement.
inline constexpr std::size_t kMaxStatements = 64;
inline constexpr std::size_t kMaxStatementBytes = std::size_t{512} * 1024;
inline constexpr std::size_t kMaxParameters = 1024;
inline constexpr std::size_t kMaxRequestIdLength = 128;

/// Validates a caller's request and its session token, and fills in the defaults of the service.
///
/// `generated_id` becomes the request id if the caller gave none. Returns a refusal with Ran::kNo if the request is
/// invalid.
tl::expected<RequestEnvelope, Refusal> resolve_request(const Request& request, const Configuration& configuration,
                                                       const SessionTokenCodec& tokens, const RequestId& generated_id);

}  // namespace teaselrudder
