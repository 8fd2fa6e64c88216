#pragma once

#include "core/config/configuration.h"
#include "core/request.h"
#include "core/session/session_token.h"
#include "tl/expected.hpp"

namespace teaselrudder {

/// Bounds on what one request may carry.
inline constexpr std::size_t kMaxStatements = 64;
inline constexpr std::size_t kMaxStatementBytes = std::size_t{512} * 1024;
inline constexpr std::size_t kMaxParameters = 1024;
inline constexpr std::size_t kMaxRequestIdLength = 128;

/// Applies the defaults of the service to a caller's request and checks its session token.
///
/// `generated_id` becomes the request id if the caller gave none. The error is a refusal with `ran: no`.
tl::expected<RequestEnvelope, Refusal> resolve_request(const Request& request, const Configuration& configuration,
                                                       const SessionTokenCodec& tokens, const RequestId& generated_id);

}  // namespace teaselrudder
