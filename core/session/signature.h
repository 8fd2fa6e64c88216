#pragma once

#include <string>
#include <string_view>

namespace teaselrudder {

/// Number of hexadecimal digits of a signature.
inline constexpr std::size_t kSignatureDigits = 32;

/// Returns the first 128 bits of the HMAC-SHA-256 of `payload` under `key`, in hexadecimal digits.
std::string sign_text(std::string_view key, std::string_view payload);

/// Compares two signatures in time that does not depend on where they differ.
bool signatures_equal(std::string_view left, std::string_view right);

}  // namespace teaselrudder
