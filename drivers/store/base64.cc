#include "drivers/store/base64.h"

#include <array>
#include <cstdint>

namespace teaselrudder {

namespace {

constexpr std::string_view kAlphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr std::size_t kGroupBytes = 3;
constexpr std::size_t kGroupDigits = 4;
constexpr std::uint8_t kInvalidDigit = 0xFF;

constexpr std::array<std::uint8_t, 256> make_digits() {
  std::array<std::uint8_t, 256> digits{};
  digits.fill(kInvalidDigit);
  for (std::size_t value = 0; value < kAlphabet.size(); ++value) {
    digits.at(static_cast<std::uint8_t>(kAlphabet[value])) = static_cast<std::uint8_t>(value);
  }
  return digits;
}

constexpr std::array<std::uint8_t, 256> kDigits = make_digits();

}  // namespace

std::string base64_encode(std::string_view bytes) {
  std::string text;
  text.reserve((bytes.size() + 2) / kGroupBytes * kGroupDigits);
  for (std::size_t start = 0; start < bytes.size(); start += kGroupBytes) {
    const std::string_view group = bytes.substr(start, kGroupBytes);
    std::uint32_t bits = 0;
    for (std::size_t index = 0; index < kGroupBytes; ++index) {
      bits = (bits << 8U) | (index < group.size() ? static_cast<std::uint8_t>(group[index]) : 0U);
    }
    for (std::size_t index = 0; index < kGroupDigits; ++index) {
      const std::uint32_t digit = (bits >> (18U - 6U * index)) & 0x3FU;
      text += index <= group.size() ? kAlphabet[digit] : '=';
    }
  }
  return text;
}

std::optional<std::string> base64_decode(std::string_view text) {
  if (text.size() % kGroupDigits != 0) {
    return std::nullopt;
  }
  std::size_t padding = 0;
  while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=') {
    ++padding;
  }
  std::string bytes;
  bytes.reserve(text.size() / kGroupDigits * kGroupBytes);
  std::uint32_t bits = 0;
  unsigned bit_count = 0;
  for (const char digit : text.substr(0, text.size() - padding)) {
    const std::uint8_t value = kDigits.at(static_cast<std::uint8_t>(digit));
    if (value == kInvalidDigit) {
      return std::nullopt;
    }
    bits = (bits << 6U) | value;
    bit_count += 6;
    if (bit_count >= 8) {
      bit_count -= 8;
      bytes += static_cast<char>((bits >> bit_count) & 0xFFU);
    }
    bits &= (1U << bit_count) - 1U;
  }
  if (bits != 0) {
    return std::nullopt;
  }
  return bytes;
}

}  // namespace teaselrudder
