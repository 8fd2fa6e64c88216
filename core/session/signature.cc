#include "core/session/signature.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>

namespace teaselrudder {

std::string sign_text(std::string_view key, std::string_view payload) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int length = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), reinterpret_cast<const unsigned char*>(payload.data()),
       payload.size(), digest.data(), &length);
  std::string text;
  text.reserve(kSignatureDigits);
  for (std::size_t index = 0; index < kSignatureDigits / 2; ++index) {
    text += kDigits[digest.at(index) >> 4U];
    text += kDigits[digest.at(index) & 0x0FU];
  }
  return text;
}

bool signatures_equal(std::string_view left, std::string_view right) {
  return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

}  // namespace teaselrudder
