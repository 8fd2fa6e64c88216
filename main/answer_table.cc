#include "main/answer_table.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string_view>
#include <vector>

namespace teaselrudder {

namespace {

/// Preserves the order of the fields in the answer.
using Json = nlohmann::ordered_json;

using Cells = std::vector<std::string>;

constexpr std::size_t kColumnGap = 2;

std::string replace_control_characters(std::string text) {
  const auto is_control = [](char character) {
    return static_cast<unsigned char>(character) < ' ' || character == '\x7f';
  };
  std::replace_if(text.begin(), text.end(), is_control, '?');
  return text;
}

std::string to_cell(const Json& value) {
  if (value.is_null()) {
    return "-";
  }
  return replace_control_characters(value.is_string() ? value.get<std::string>() : value.dump());
}

/// Returns the number of terminal columns of a UTF-8 text. Code points from U+3000 to U+DFFF, whose first byte is 0xe3
/// to 0xed, are East Asian characters of double width.
std::size_t display_width(std::string_view text) {
  std::size_t width = 0;
  for (const char character : text) {
    const auto byte = static_cast<unsigned char>(character);
    const bool begins_code_point = (byte & 0xc0U) != 0x80U;
    const bool is_wide = byte >= 0xe3U && byte <= 0xedU;
    width += (begins_code_point ? 1U : 0U) + (is_wide ? 1U : 0U);
  }
  return width;
}

/// Returns the fields of all rows in the order of their first appearance.
Cells find_columns(const Json& rows) {
  Cells columns;
  for (const Json& row : rows) {
    for (const auto& [name, value] : row.items()) {
      if (std::find(columns.begin(), columns.end(), name) == columns.end()) {
        columns.push_back(name);
      }
    }
  }
  return columns;
}

std::string format_lines(const std::vector<Cells>& lines) {
  std::vector<std::size_t> widths(lines.front().size(), 0);
  for (const Cells& line : lines) {
    for (std::size_t column = 0; column < line.size(); ++column) {
      widths[column] = std::max(widths[column], display_width(line[column]));
    }
  }
  std::string text;
  for (const Cells& line : lines) {
    for (std::size_t column = 0; column < line.size(); ++column) {
      text += line[column];
      const bool is_last = column + 1 == line.size();
      text.append(is_last ? 0 : widths[column] - display_width(line[column]) + kColumnGap, ' ');
    }
    text += '\n';
  }
  return text;
}

std::string format_rows(const Json& rows) {
  const Cells columns = find_columns(rows);
  if (columns.empty()) {
    return "(no rows)\n";
  }
  std::vector<Cells> lines(1);
  for (const std::string& column : columns) {
    lines.front().push_back(replace_control_characters(column));
  }
  for (const Json& row : rows) {
    Cells line;
    for (const std::string& column : columns) {
      line.push_back(row.contains(column) ? to_cell(row[column]) : "-");
    }
    lines.push_back(std::move(line));
  }
  return format_lines(lines);
}

bool is_table(const std::string& name, const Json& value) {
  return (name == "rows" || name == "difference") && value.is_array() &&
         std::all_of(value.begin(), value.end(), [](const Json& row) { return row.is_object(); });
}

}  // namespace

std::string format_answer(const std::string& json) {
  const Json document = Json::parse(json, nullptr, false);
  if (!document.is_object()) {
    return replace_control_characters(json) + "\n";
  }
  std::string text;
  for (const auto& [name, value] : document.items()) {
    text +=
        is_table(name, value) ? format_rows(value) : replace_control_characters(name) + ": " + to_cell(value) + "\n";
  }
  return text;
}

}  // namespace teaselrudder
