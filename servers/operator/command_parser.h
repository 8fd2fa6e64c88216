#pragma once

#include <string_view>

#include "servers/operator/command.h"
#include "tl/expected.hpp"

namespace teaselrudder {

/// Size limit of a command, in bytes. A command that sets all groups of a full-size fleet takes about 300 kB.
inline constexpr std::size_t kMaxCommandBytes = 1000000;

/// Parses a command of the language described in docs/operators/language.md. The error has the position and what was
/// expected there.
tl::expected<Command, CommandError> parse_command(std::string_view text);

}  // namespace teaselrudder
