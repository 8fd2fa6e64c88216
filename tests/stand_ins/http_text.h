#pragma once

#include <map>
#include <optional>
#include <string>

namespace teaselrudder::testing {

/// One HTTP/1.1 request as text.
struct HttpRequestText {
  std::string method;
  /// Path with query.
  std::string path;
  /// By names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
};

/// Takes the first complete request off `input`, or returns nothing if it is not complete yet.
std::optional<HttpRequestText> take_http_request(std::string& input);

/// Writes a response with a JSON body.
std::string http_response_text(int status, const std::string& body);

}  // namespace teaselrudder::testing
