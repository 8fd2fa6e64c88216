#pragma once

#include <string_view>

namespace teaselrudder {

/// Removes the first space-separated word from `rest` and returns it. Only one space after the word is removed.
inline std::string_view take_word(std::string_view& rest) {
  const std::size_t end = rest.find(' ');
  const std::string_view word = rest.substr(0, end);
  rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
  return word;
}

}  // namespace teaselrudder
