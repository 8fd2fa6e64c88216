#pragma once

namespace teaselrudder {

inline constexpr const char* kJsonContentType = "application/json";
inline constexpr const char* kTextContentType = "text/plain; charset=utf-8";
/// The `version` parameter is required by the Prometheus text exposition format.
inline constexpr const char* kMetricsContentType = "text/plain; version=0.0.4; charset=utf-8";

}  // namespace teaselrudder
