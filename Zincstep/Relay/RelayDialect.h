#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Zincstep/Net/CallerConnection.h"
#include "Zincstep/Pool/Pool.h"

namespace zincstep {

/// Size of a request to a model, in tokens; zero where the caller gave none.
struct TokenUse {
  double prompt = 0;
  /// Maximum tokens of the answer.
  double maxOut = 0;
  /// The caller's estimate of the answer's tokens; often far off.
  double guessedOut = 0;
};

/// Fields parsed from the head of a caller's request, besides method, target
/// and the headers that are forwarded.
struct RelayRequest {
  /// Id of this attempt; echoed in the response.
  std::string id;
  std::string host;
  /// Empty if the request has no key.
  std::string apiKey;
  /// Time that the caller waits, counted from the reading of the request.
  std::optional<Micros> timeout;
  /// Last event that the caller has received, if it resumes a stream and the
  /// event's id is a number.
  std::optional<std::uint64_t> lastEventId;
  TokenUse tokens;
  /// Ids of the parts of the prompt that other requests may share, in order;
  /// at most `kMaxPromptParts`.
  std::vector<std::string> promptParts;
};

/// Parts of a prompt that are considered; callers may name more.
inline constexpr std::size_t kMaxPromptParts = 16;

/// A request to be encoded for an upstream.
struct ForwardedRequest {
  const CallerMessage& message;
  /// The only incarnation that may run it.
  std::string upstreamId;
  /// Time left until the caller's deadline.
  Micros timeout{};
  /// Organisation of the caller's key; empty if there is none.
  std::string organisation;
  /// Last event that this daemon has forwarded to the caller; none: the event
  /// that the caller names, if any, is passed on.
  std::optional<std::uint64_t> forwardedEventId;
  /// 0 is the most urgent.
  int priority = 0;
  /// The chain through a split model; null for plain services.
  const PoolChain* chain = nullptr;
};

/// A request to be encoded for another daemon.
struct DaemonRequest {
  const CallerMessage& message;
  /// Time left until the caller's deadline.
  Micros timeout{};
  /// As in `ForwardedRequest`.
  std::optional<std::uint64_t> forwardedEventId;
  /// Headers added for the other daemon.
  HttpHeaders added;
};

/// Load that an upstream states in the head of a response.
struct ServerLoad {
  int running = 0;
  int queued = 0;
  /// Requests that it runs concurrently.
  int slots = 0;
};

/// Fields parsed from the head of an upstream's response.
struct ResponseInfo {
  /// Attempt id of the request that the response belongs to.
  std::string requestId;
  /// The upstream guarantees that it has not run the request.
  bool isNotRun = false;
  /// Carries the seal header, which shows that the upstream itself wrote the
  /// response.
  bool isSealed = false;
  /// The body has a content encoding that the request did not permit.
  bool isEncoded = false;
  /// Address of the member of the chain at fault; empty if not named.
  std::string atFault;
  /// Id of the incarnation that responded; empty if not given.
  std::string answeredBy;
  /// Load of the upstream, if given.
  std::optional<ServerLoad> load;
  UpstreamNotice notice;
};

/// Encoding of requests and responses in the HTTP headers of a platform.
class RelayDialect {
 public:
  virtual ~RelayDialect() = default;

  virtual RelayRequest ReadRequest(const HttpHead& aHead) const = 0;
  /// Returns the encoded request, head and body.
  virtual std::string WriteRequest(const ForwardedRequest& aRequest) const = 0;
  /// Returns the encoded request, head and body, for another daemon: the
  /// caller's own, with its key.
  virtual std::string WriteDaemonRequest(
      const DaemonRequest& aRequest) const = 0;
  virtual ResponseInfo ReadResponse(const HttpHead& aHead) const = 0;
  /// Returns the headers of a response that this daemon generates for request
  /// `aId`.
  virtual HttpHeaders LocalResponseHeaders(const std::string& aId) const = 0;
};

}  // namespace zincstep
