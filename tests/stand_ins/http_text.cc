#include "tests/stand_ins/http_text.h"

#include <algorithm>
#include <cctype>
#include <sstream>

namespace teaselrudder::testing {

namespace {

HttpRequestText parse_head(const std::string& head) {
  HttpRequestText request;
  std::istringstream lines(head);
  lines >> request.method >> request.path;
  std::string line;
  std::getline(lines, line);
  while (std::getline(lines, line)) {
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
    const std::size_t first = line.find_first_not_of(' ', colon + 1);
    const std::size_t last = line.find_last_not_of("\r ");
    request.headers[name] = first == std::string::npos || last < first ? "" : line.substr(first, last + 1 - first);
  }
  return request;
}

}  // namespace

std::optional<HttpRequestText> take_http_request(std::string& input) {
  const std::size_t head_end = input.find("\r\n\r\n");
  if (head_end == std::string::npos) {
    return std::nullopt;
  }
  HttpRequestText request = parse_head(input.substr(0, head_end));
  const std::size_t body_start = head_end + 4;
  const auto length = request.headers.find("content-length");
  const std::size_t body_size = length == request.headers.end() ? 0 : std::stoul(length->second);
  if (input.size() < body_start + body_size) {
    return std::nullopt;
  }
  request.body = input.substr(body_start, body_size);
  input.erase(0, body_start + body_size);
  return request;
}

std::string http_response_text(int status, const std::string& body, const std::string& extra_headers) {
  return "HTTP/1.1 " + std::to_string(status) +
         " Status\r\ncontent-type: application/json\r\ncontent-length: " + std::to_string(body.size()) + "\r\n" +
         extra_headers + "\r\n" + body;
}

}  // namespace teaselrudder::testing
