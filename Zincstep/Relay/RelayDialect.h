#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "Zincstep/Net/CallerConnection.h"
#include "Zincstep/Pool/Pool.h"

namespace zincstep {

/// Length of a request to a model, in tokens; all zero where not told.
struct TokenUse {
  double prompt = 0;
  /// Most tokens that the answer may have.
  double maxOut = 0;
  /// The caller's guess of the answer's tokens; often far off.
  double guessedOut = 0;
};

/// What a caller's head says, beside method, target and what is passed on.
struct RelayRequest {
  /// Names this attempt of the caller; comes back with the answer.
  std::string id;
  std::string host;
  /// Empty where none was presented.
  std::string apiKey;
  /// How long the caller waits, from when the request was read on.
  std::optional<Micros> patience;
  /// Last event of the stream that the caller has, where it resumes one.
  std::optional<std::uint64_t> lastEventId;
  TokenUse tokens;
};

/// A caller's request on its way to an upstream.
struct ForwardedRequest {
  const CallerMessage& message;
  /// The only incarnation that may run it.
  std::string upstreamId;
  /// Time that the upstream may take.
  Micros patience{};
  /// Whose key the caller presented; empty where none is asked for.
  std::string organisation;
  std::optional<std::uint64_t> lastEventId;
  /// 0 is the most urgent.
  int priority = 0;
  /// The chain through a split model; null for plain services.
  const PoolChain* chain = nullptr;
};

/// What the head of an upstream's answer says.
struct ResponseInfo {
  /// The request that it answers.
  std::string requestId;
  /// The upstream promises that it has not run the request.
  bool isNotRun = false;
  /// Carries the mark that shows the bytes to be the upstream's own.
  bool isSealed = false;
  /// Its body is coded in a way that was not asked for.
  bool isEncoded = false;
  /// Address of the upstream of the chain that is at fault, if named.
  std::string atFault;
  /// Id of the upstream that answered, where it tells.
  std::string answeredBy;
  /// Requests waiting at the upstream, where it tells.
  std::optional<double> waiting;
  UpstreamNotice notice;
};

/// How requests and answers are written; the words of a platform.
class RelayDialect {
 public:
  virtual ~RelayDialect() = default;

  virtual RelayRequest ReadRequest(const HttpHead& aHead) const = 0;
  /// The request's bytes as they go to the upstream.
  virtual std::string WriteRequest(const ForwardedRequest& aRequest) const = 0;
  virtual ResponseInfo ReadResponse(const HttpHead& aHead) const = 0;
  /// Fields of an answer of our own to request `aId`.
  virtual HttpHeaders LocalResponseHeaders(const std::string& aId) const = 0;
};

}  // namespace zincstep
