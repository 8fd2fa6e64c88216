#pragma once

#include <string_view>

#include "servers/operator/command.h"
#include "tl/expected.hpp"

namespace teaselrudder {

/// Longest command, in bytes. A command that states all groups of a full-size fleet takes about 300 kB.
inline constexpr std::size_t kMaxCommandBytes = 1000000;

/// Parses a command in the language of docs/operators/language.md.
tl::expected<Command, CommandError> parse_command(std::string_view text);

}  // namespace teaselrudder
