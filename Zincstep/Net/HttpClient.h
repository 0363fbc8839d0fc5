#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "Zincstep/Core/Core.h"
#include "Zincstep/Net/BodyBuffer.h"
#include "Zincstep/Net/HttpMessage.h"

namespace zincstep {

/// How a call ended; determines what is known about its effect.
enum class CallEnd {
  /// A complete response was received.
  Answered,
  /// No byte of the request was sent.
  NotSent,
  /// The request may have been executed; no complete response was received, or
  /// its body was rejected.
  Unknown,
  /// As `Unknown`, because the timeout expired after bytes of the request were
  /// sent. The caller cannot detect this with a clock of its own, since libcurl
  /// rounds durations to whole milliseconds.
  TimedOut,
  /// Cancelled by this client.
  Cancelled,
};

/// One HTTP call.
struct HttpCall {
  std::string method = "GET";
  std::string url;
  HttpHeaders headers;
  std::string body;
  Micros connectTimeout = 1s;
  /// Timeout of the whole call; zero means no limit.
  Micros timeout = 5s;
  /// Never reuse a connection. If a reused connection closes without a
  /// response, libcurl retries on a new one, which would run a call twice that
  /// must run at most once.
  bool freshConnection = false;
  /// Pass the body in parts to `OnCallData` instead of in the result.
  bool streamed = false;
  /// Maximum body in the result, in bytes. A call with a longer one fails at
  /// once, and its connection is closed. The default is that of a response of
  /// the edge daemon's store.
  std::size_t maxBodyBytes = 16 << 20;
};

/// Result of one call.
struct HttpCallResult {
  CallEnd end = CallEnd::Unknown;
  /// Status of the final head; 0 if no complete head was received.
  int status = 0;
  HttpHeaders headers;
  std::string body;
  /// Error text of libcurl, of the parser or of an exceeded bound if there is
  /// no complete response.
  std::string fault;
};

using CallId = std::uint64_t;

/// Receives the events of calls, on the client's thread.
class HttpCallListener {
 public:
  virtual ~HttpCallListener() = default;

  /// Called with a part of a streamed body.
  ///
  /// Returns false to reject it: the call then fails at once, and its
  /// connection is closed.
  virtual bool OnCallData(CallId aCall, std::string aPart) = 0;

  /// Called once when the call has ended; its last event.
  virtual void OnCallEnd(CallId aCall, HttpCallResult aResult) = 0;
};

/// Runs concurrent calls on one thread; methods are callable from any thread.
class HttpClient {
 public:
  virtual ~HttpClient() = default;

  /// Starts a call whose events are sent to `aListener`.
  virtual CallId Start(HttpCall aCall, HttpCallListener& aListener) = 0;
  /// Cancels a call; it ends with `Cancelled` unless it has already ended.
  virtual void Cancel(CallId aCall) = 0;
};

/// Returns the budget that all calls of the process share that get no other
/// one: 32 MiB for incomplete bodies, above 16 KiB each.
const std::shared_ptr<ByteBudget>& DefaultResponseBudget();

/// Creates a client on libcurl's multi interface.
///
/// All bodies that it buffers for results take their bytes from `aBudget`; a
/// call whose body would exceed it fails at once.
std::unique_ptr<HttpClient> MakeHttpClient(
    std::shared_ptr<ByteBudget> aBudget = DefaultResponseBudget());

/// Makes one call and blocks until it has ended; buffers its body within
/// `aBudget`.
HttpCallResult FetchBlocking(
    const HttpCall& aCall,
    std::shared_ptr<ByteBudget> aBudget = DefaultResponseBudget());

}  // namespace zincstep
