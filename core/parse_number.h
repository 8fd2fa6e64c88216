#pragma once

#include <charconv>
#include <cstdint>
#include <optional>
#include <string_view>

namespace teaselrudder {

/// Parses all of `text` as an unsigned decimal number. Returns nullopt if it is not one or does not fit in 64 bits.
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
