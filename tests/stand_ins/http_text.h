#pragma once

#include <map>
#include <optional>
#include <string>

namespace teaselrudder::testing {

/// A parsed HTTP/1.1 request.
struct HttpRequestText {
  std::string method;
  /// Path with query.
  std::string path;
  /// Header values by lower-case name.
  std::map<std::string, std::string> headers;
  std::string body;
};

/// Removes the first request from `input` and returns it, or returns nothing if it is incomplete.
std::optional<HttpRequestText> take_http_request(std::string& input);

/// Returns the text of a response with a JSON body. Each of `extra_headers` ends with a line break.
std::string http_response_text(int status, const std::string& body, const std::string& extra_headers = {});

}  // namespace teaselrudder::testing
