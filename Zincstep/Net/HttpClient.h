#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "Zincstep/Core/Core.h"
#include "Zincstep/Net/HttpMessage.h"

namespace zincstep {

/// How far a call came; decides what may be said of its effect.
enum class CallEnd {
  /// An answer came whole.
  Answered,
  /// No byte of the request left this machine.
  NotSent,
  /// The request may have been acted on, and its answer is not known.
  Unknown,
  /// Its time ran out after bytes of the request had left: as `Unknown`,
  /// with the cause told. A clock read afterwards cannot tell it, as
  /// libcurl rounds spans to whole milliseconds.
  TimedOut,
  /// It was cancelled here.
  Cancelled,
};

/// One HTTP call.
struct HttpCall {
  std::string method = "GET";
  std::string url;
  HttpHeaders headers;
  std::string body;
  Micros connectTimeout = 1s;
  /// For the whole call; zero means no limit.
  Micros timeout = 5s;
  /// Never reuse a connection. libcurl sends a request again on a new
  /// connection when a reused one closes without an answer, which would
  /// run a call twice that must run at most once.
  bool freshConnection = false;
  /// Give the body in parts as it comes, instead of whole at the end.
  bool streamed = false;
};

/// The end of one call.
struct HttpCallResult {
  CallEnd end = CallEnd::Unknown;
  int status = 0;
  HttpHeaders headers;
  std::string body;
  /// libcurl's words where there is no whole answer.
  std::string fault;
};

using CallId = std::uint64_t;

/// Is told of calls; called on the client's own thread.
class HttpCallListener {
 public:
  virtual ~HttpCallListener() = default;

  /// A part of a streamed body has come.
  virtual void OnCallData(CallId aCall, std::string aPart) = 0;

  /// The call has ended; nothing more comes of it.
  virtual void OnCallEnd(CallId aCall, HttpCallResult aResult) = 0;
};

/// Many calls at a time on one thread; methods may be called from any.
class HttpClient {
 public:
  virtual ~HttpClient() = default;

  /// Starts a call whose events go to `aListener`.
  virtual CallId Start(HttpCall aCall, HttpCallListener& aListener) = 0;
  /// Ends a call early; it ends with `Cancelled` if it had not ended.
  virtual void Cancel(CallId aCall) = 0;
};

/// A client by libcurl's multi interface.
std::unique_ptr<HttpClient> MakeHttpClient();

/// Makes one call and waits for its end.
HttpCallResult FetchBlocking(const HttpCall& aCall);

}  // namespace zincstep
