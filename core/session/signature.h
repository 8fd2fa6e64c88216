#pragma once

#include <string>
#include <string_view>

namespace teaselrudder {

/// Length of a signature in hexadecimal digits.
inline constexpr std::size_t kSignatureDigits = 32;

/// Returns the first 128 bits of the HMAC-SHA-256 of `payload` under `key`, in lower-case hexadecimal digits.
std::string sign_text(std::string_view key, std::string_view payload);

/// Compares two signatures in constant time, so that the duration does not reveal the first differing byte.
bool signatures_equal(std::string_view left, std::string_view right);

}  // namespace teaselrudder
