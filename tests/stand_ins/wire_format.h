#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace teaselrudder::testing {

/// Encodes big-endian numbers and strings for the PostgreSQL protocol and for the replication between test doubles.
class WireWriter {
 public:
  template <typename Number>
  WireWriter& number(Number value) {
    for (std::size_t byte = sizeof(Number); byte > 0; --byte) {
      m_bytes += static_cast<char>(static_cast<std::uint64_t>(value) >> (8 * (byte - 1)));
    }
    return *this;
  }
  /// Appends a zero-terminated string.
  WireWriter& text(std::string_view value) {
    m_bytes.append(value).push_back('\0');
    return *this;
  }
  /// Appends a 4-byte length and the bytes. The length of an absent value is -1.
  WireWriter& length_prefixed(const std::optional<std::string>& value) {
    number<std::int32_t>(value.has_value() ? static_cast<std::int32_t>(value->size()) : -1);
    m_bytes += value.value_or("");
    return *this;
  }
  /// Returns the bytes as a protocol message: type, length, body. The type is omitted if it is zero.
  std::string message(char type) const {
    WireWriter framed;
    framed.number(static_cast<std::uint32_t>(m_bytes.size() + sizeof(std::uint32_t)));
    return (type == 0 ? std::string() : std::string(1, type)) + framed.m_bytes + m_bytes;
  }
  const std::string& bytes() const { return m_bytes; }

 private:
  std::string m_bytes;
};

/// Decodes what WireWriter encodes. Reading past the end returns zeros and empty strings.
class WireReader {
 public:
  explicit WireReader(std::string_view bytes) : m_bytes(bytes) {}

  template <typename Number>
  Number number() {
    std::uint64_t value = 0;
    for (const char byte : take(sizeof(Number))) {
      value = (value << 8) | static_cast<unsigned char>(byte);
    }
    return static_cast<Number>(value);
  }
  std::string text() {
    std::string value(m_bytes.substr(0, m_bytes.find('\0')));
    take(value.size() + 1);
    return value;
  }
  std::optional<std::string> length_prefixed() {
    const auto size = number<std::int32_t>();
    return size < 0 ? std::nullopt : std::optional(std::string(take(static_cast<std::size_t>(size))));
  }

 private:
  std::string_view take(std::size_t size) {
    const std::string_view taken = m_bytes.substr(0, size);
    m_bytes.remove_prefix(taken.size());
    return taken;
  }

  std::string_view m_bytes;
};

}  // namespace teaselrudder::testing
