#include "core/event_line.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <optional>

namespace teaselrudder {

namespace {

// Events that are logged once per request.
constexpr std::array<std::string_view, 2> kRequestEvents = {"refused", "retry"};

bool needs_quotes(std::string_view value) {
  const auto is_special = [](char character) {
    return static_cast<unsigned char>(character) <= ' ' || character == '"' || character == '=' || character == '\\' ||
           character == '\x7f';
  };
  return value.empty() || std::any_of(value.begin(), value.end(), is_special);
}

void append_quoted(std::string& line, std::string_view value) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  line.push_back('"');
  for (const char character : value) {
    const auto code = static_cast<unsigned char>(character);
    if (character == '"' || character == '\\') {
      line.push_back('\\');
      line.push_back(character);
    } else if (code < ' ' || code == 0x7f) {
      line += "\\x";
      line.push_back(kDigits[code >> 4U]);
      line.push_back(kDigits[code & 0xfU]);
    } else {
      line.push_back(character);
    }
  }
  line.push_back('"');
}

bool is_number(std::string_view word) {
  return !word.empty() && std::all_of(word.begin(), word.end(), [](char character) {
    return std::isdigit(static_cast<unsigned char>(character)) != 0 || character == '.' || character == '-';
  });
}

int hex_digit(char character) {
  if (character >= '0' && character <= '9') {
    return character - '0';
  }
  return character >= 'a' && character <= 'f' ? character - 'a' + 10 : -1;
}

/// Removes a value, quoted or not, from the front of `rest` and returns it unquoted. Returns nullopt if the closing
/// quote is missing or an escape sequence is invalid.
std::optional<std::string> take_value(std::string_view& rest) {
  std::string value;
  if (!rest.starts_with('"')) {
    const std::size_t end = std::min(rest.find(' '), rest.size());
    value = rest.substr(0, end);
    rest.remove_prefix(end);
    return value;
  }
  rest.remove_prefix(1);
  while (!rest.empty() && rest.front() != '"') {
    if (rest.front() != '\\') {
      value.push_back(rest.front());
      rest.remove_prefix(1);
      continue;
    }
    if (rest.size() >= 4 && rest[1] == 'x') {
      const int high = hex_digit(rest[2]);
      const int low = hex_digit(rest[3]);
      if (high < 0 || low < 0) {
        return std::nullopt;
      }
      value.push_back(static_cast<char>(high * 16 + low));
      rest.remove_prefix(4);
    } else if (rest.size() >= 2) {
      value.push_back(rest[1]);
      rest.remove_prefix(2);
    } else {
      return std::nullopt;
    }
  }
  if (rest.empty()) {
    return std::nullopt;
  }
  rest.remove_prefix(1);
  return value;
}

}  // namespace

std::string EventLine::field(std::string_view name) const {
  const auto found = fields.find(name);
  return found == fields.end() ? std::string() : found->second;
}

std::string format_event(std::string_view event, const LogFields& fields) {
  std::string line = "event=" + std::string(event);
  for (const auto& [key, value] : fields) {
    line.append(" ").append(key).append("=");
    if (needs_quotes(value)) {
      append_quoted(line, value);
    } else {
      line += value;
    }
  }
  return line;
}

tl::expected<EventLine, std::string> parse_event_line(std::string_view line) {
  EventLine parsed;
  std::string_view rest = line;
  while (!rest.empty()) {
    const std::size_t start = rest.find_first_not_of(" \r");
    if (start == std::string_view::npos) {
      break;
    }
    rest.remove_prefix(start);
    const std::size_t end = rest.find_first_of(" =");
    const std::string_view word = rest.substr(0, end);
    if (end == std::string_view::npos || rest[end] == ' ') {
      if (!parsed.time.empty()) {
        return tl::unexpected("'" + std::string(word) + "' is not a key=value field");
      }
      if (!is_number(word)) {
        parsed.host = word;
      }
      rest.remove_prefix(word.size());
      continue;
    }
    rest.remove_prefix(end + 1);
    const auto value = take_value(rest);
    if (!value.has_value()) {
      return tl::unexpected("the quoted value of '" + std::string(word) + "' is unterminated or has a bad escape");
    }
    if (word == "time") {
      parsed.time = *value;
    } else if (word == "event") {
      parsed.event = *value;
    } else {
      parsed.fields[std::string(word)] = *value;
    }
  }
  if (parsed.time.empty() || parsed.event.empty()) {
    return tl::unexpected(std::string("time or event is missing"));
  }
  return parsed;
}

bool is_request_event(std::string_view event) {
  return std::find(kRequestEvents.begin(), kRequestEvents.end(), event) != kRequestEvents.end();
}

}  // namespace teaselrudder
