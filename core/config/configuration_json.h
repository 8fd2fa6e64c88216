#pragma once

#include <string>
#include <string_view>

#include "core/config/configuration.h"
#include "tl/expected.hpp"

namespace teaselrudder {

/// Size limit of a configuration document, in bytes. The platform's store accepts values of up to 1 MB.
inline constexpr std::size_t kMaxConfigurationBytes = 1000000;

/// Returns `configuration` as a JSON document.
std::string configuration_to_json(const Configuration& configuration);

/// Parses a document written by configuration_to_json() and validates it with find_configuration_errors(). The error
/// describes the first problem in one line.
tl::expected<Configuration, std::string> configuration_from_json(std::string_view document);

/// Conversions to and from the machine-readable names used in documents, requests and operators' commands. The
/// `_from_string` functions return nullopt for an unknown name.
std::string_view to_string(Freshness freshness);
std::string_view to_string(Urgency urgency);
std::optional<Freshness> freshness_from_string(std::string_view name);
std::optional<Urgency> urgency_from_string(std::string_view name);

}  // namespace teaselrudder
