#pragma once

#include <charconv>
#include <cstdint>
#include <optional>
#include <string_view>

namespace teaselrudder {

/// Returns the unsigned decimal number that makes up the whole of `text`, or nothing.
inline std::optional<std::uint64_t> parse_unsigned(std::string_view text) {
  std::uint64_t number = 0;
  const char* const end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, number);
  if (result.ec != std::errc() || result.ptr != end) {
    return std::nullopt;
  }
  return number;
}

}  // namespace teaselrudder
