#pragma once

#include <boost/histogram.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "Zincstep/Engine/Engine.h"
#include "Zincstep/Net/Net.h"

namespace zincstep::load {

/// Settings of a load run.
struct LoadSettings {
  /// Addresses of the daemons' caller ports, used round robin.
  std::vector<std::string> targets;
  /// Bearer key of the organisation.
  std::string key;
  std::string model = "zincstep-orders";
  /// Mean arrivals per second of a Poisson process.
  double rate = 5;
  /// Time in which requests are sent, in seconds.
  double seconds = 10;
  /// Mean length of the answers in tokens, geometrically distributed; 0 for
  /// exactly `maxTokens` each.
  double meanTokens = 60;
  /// Maximum length of an answer, in tokens.
  std::int64_t maxTokens = 200;
  /// Length of each prompt, in bytes.
  std::int64_t promptBytes = 200;
  /// Seed of the random arrivals and lengths.
  std::int64_t seed = 1;
  /// Maximum number of open requests; further arrivals are counted as not
  /// sent.
  std::int64_t maxOpenRequests = 2000;
  /// Stages for calls to the engines without a daemon, written as
  /// address/first/last and separated by commas; empty for calls to daemons.
  std::string direct;
};

/// Histogram of durations in seconds, with logarithmic bins of 0.2%.
class DurationHistogram {
 public:
  /// Adds a duration.
  void Add(double aSeconds);
  /// Returns the percentile for `aFraction` (0 to 1) in milliseconds, or 0 if
  /// the histogram is empty.
  double PercentileMillis(double aFraction) const;
  /// Number of durations added.
  std::uint64_t Count() const { return this->count; }

 private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Histogram =
      decltype(boost::histogram::make_histogram(std::declval<Axis>()));

  Histogram histogram =
      boost::histogram::make_histogram(Axis(9000, 10e-6, 600.0));
  std::uint64_t count = 0;
};

/// Open-loop load generator: sends requests on schedule, independent of the
/// response times.
class LoadRun : private HttpCallListener {
 public:
  explicit LoadRun(LoadSettings aSettings);

  /// Sends all requests, waits for their responses up to a timeout, and
  /// returns the results as JSON.
  std::string Run();

 private:
  struct OpenRequest {
    Instant sentAt;
    Instant lastTokenAt;
    int tokens = 0;
    int expectedTokens = 0;
    bool isComplete = false;
    /// Received bytes after the last complete line.
    std::string partial;
  };

  void SendRequest(std::uint64_t aNumber);
  HttpCall MakeCall(std::uint64_t aNumber, int aTokens);
  bool OnCallData(CallId aCall, std::string aPart) override;
  void OnCallEnd(CallId aCall, HttpCallResult aResult) override;
  void OnLine(OpenRequest& aRequest, std::string_view aLine, Instant aNow);
  int SampleTokenCount();
  std::size_t OpenCount();
  std::string Report(double aSeconds);

  LoadSettings settings;
  SystemClock clock;
  Random random;
  std::mutex mutex;
  std::map<CallId, OpenRequest> openRequests;
  DurationHistogram firstToken;
  DurationHistogram tokenGap;
  DurationHistogram total;
  std::map<int, int> statuses;
  std::uint64_t sent = 0;
  std::uint64_t notSent = 0;
  std::uint64_t completed = 0;
  std::uint64_t incomplete = 0;
  std::uint64_t tokens = 0;
  std::unique_ptr<HttpClient> http;
};

}  // namespace zincstep::load
