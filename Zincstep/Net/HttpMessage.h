#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace zincstep {

/// One header field of HTTP.
struct HttpHeader {
  std::string name;
  std::string value;
};

using HttpHeaders = std::vector<HttpHeader>;

/// The value of the first field named `aName`, in any case, or empty.
std::string_view FindHeader(const HttpHeaders& aHeaders,
                            std::string_view aName);

/// Whether two header names are the same, in any case of letters.
bool SameHeaderName(std::string_view aLeft, std::string_view aRight);

/// Names one request and its answer at the server that took it.
using ExchangeId = std::uint64_t;

/// A complete request of a caller.
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

/// A complete answer.
struct HttpResponse {
  int status = 200;
  HttpHeaders headers;
  std::string body;
};

/// The value of `aName` in a query string, or empty.
std::string QueryValue(std::string_view aQuery, std::string_view aName);

}  // namespace zincstep
