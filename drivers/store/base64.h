#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace teaselrudder {

/// Encodes bytes as base64 with padding (RFC 4648, section 4).
std::string base64_encode(std::string_view bytes);

/// Decodes base64 with padding. Returns nothing if `text` contains another character, has wrong padding, or has unused
/// bits that are not zero.
std::optional<std::string> base64_decode(std::string_view text);

}  // namespace teaselrudder
