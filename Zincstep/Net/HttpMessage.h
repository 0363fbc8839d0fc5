#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace zincstep {

/// An HTTP header field.
struct HttpHeader {
  std::string name;
  std::string value;
};

using HttpHeaders = std::vector<HttpHeader>;

/// Returns the value of the first field named `aName`, case-insensitively, or
/// an empty string.
std::string_view FindHeader(const HttpHeaders& aHeaders,
                            std::string_view aName);

/// Returns whether two header names are equal, case-insensitively.
bool SameHeaderName(std::string_view aLeft, std::string_view aRight);

/// Identifies one request and its response within the server that received it.
using ExchangeId = std::uint64_t;

/// A complete request.
struct HttpRequest {
  ExchangeId exchange = 0;
  std::string method;
  /// Path without the query.
  std::string path;
  /// Query without the question mark.
  std::string query;
  HttpHeaders headers;
  std::string body;
};

/// A complete response.
struct HttpResponse {
  int status = 200;
  HttpHeaders headers;
  std::string body;
};

/// Returns the value of `aName` in a query string, or an empty string. Does not
/// decode percent escapes.
std::string QueryValue(std::string_view aQuery, std::string_view aName);

}  // namespace zincstep
