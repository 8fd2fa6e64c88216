#pragma once

#include <string>
#include <string_view>

#include "core/config/configuration.h"
#include "tl/expected.hpp"

namespace teaselrudder {

/// Longest configuration document, in bytes: the platform's store holds values up to a megabyte.
inline constexpr std::size_t kMaxConfigurationBytes = 1000000;

/// Writes a configuration as a JSON document.
std::string configuration_to_json(const Configuration& configuration);

/// Reads a document of configuration_to_json(). The error says in one line what is wrong; a document that parses but
/// breaks a rule of find_configuration_errors() is an error too.
tl::expected<Configuration, std::string> configuration_from_json(std::string_view document);

/// Machine-readable names of the request parameters, as documents, callers and operators write them.
std::string_view to_string(Freshness freshness);
std::string_view to_string(Urgency urgency);
std::optional<Freshness> freshness_from_string(std::string_view name);
std::optional<Urgency> urgency_from_string(std::string_view name);

}  // namespace teaselrudder
