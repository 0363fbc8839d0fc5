#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <queue>

#include "PerformanceTests/BenchOutput.h"
#include "Zincstep/Admission/Admission.h"

namespace zincstep::bench {
namespace {

constexpr double kTokensPerSecond = 2000;
constexpr int kWindowSequences = 100;
/// Requests of organisations under their share start in a window filled up to
/// this multiple of its size.
constexpr double kOverfillFactor = 1.15;
constexpr double kTokensPerRequest = 200;
constexpr double kPrefillSeconds = 0.05;
constexpr double kRunSeconds = 200;
constexpr Micros kDeadline = 20s;
/// Excluded from the figures: the window fills in step with the first
/// arrivals.
constexpr double kWarmUpSeconds = 20;
/// End of the warm-up; the clock starts at 1 s.
constexpr Instant kMeasuredFrom{21s};

/// Open-loop arrivals of one organisation.
struct Source {
  std::string name;
  double weight = 1;
  double requestsPerSecond = 0;
  /// Start of the arrivals, in seconds from the start of the run.
  double startSeconds = 0;
};

/// Results of one organisation's requests.
struct OrganisationResult {
  double tokens = 0;
  std::vector<double> firstTokenSeconds;
  int refused = 0;
  int late = 0;
};

/// Order in which requests are admitted: by fair share or by arrival.
enum class Policy { Fair, Fifo };

/// Simulates one daemon's share of a fleet under open-loop arrivals: a
/// window of sequences that share a token rate. Runs on a fake clock.
class AdmissionRun {
 public:
  AdmissionRun(std::vector<Source> aSources, Policy aPolicy,
               std::uint64_t aSeed)
      : sources(std::move(aSources)),
        policy(aPolicy),
        random(aSeed),
        queue(FairQueueSettings{}) {}

  std::map<std::string, OrganisationResult> Run() {
    constexpr double kStepSeconds = 0.002;
    std::vector<double> nextArrivals;
    for (const Source& source : this->sources) {
      nextArrivals.push_back(source.startSeconds +
                             this->SampleInterval(source));
    }
    for (double time = 0; time < kRunSeconds; time += kStepSeconds) {
      this->now = Instant{FromSeconds(1 + time)};
      for (std::size_t i = 0; i < this->sources.size(); ++i) {
        for (; nextArrivals[i] <= time;
             nextArrivals[i] += this->SampleInterval(this->sources[i])) {
          this->OnArrival(this->sources[i]);
        }
      }
      this->StartQueued();
      this->GenerateTokens(kStepSeconds);
    }
    return this->results;
  }

 private:
  struct SimulatedRequest {
    const Source* source = nullptr;
    Instant arrivedAt;
    Instant startedAt;
    double tokens = 0;
  };

  double SampleInterval(const Source& aSource) {
    return -std::log(1 - this->random.Unit()) / aSource.requestsPerSecond;
  }

  void OnArrival(const Source& aSource) {
    const std::uint64_t id = ++this->lastId;
    this->waiting[id] = {&aSource, this->now, {}, 0};
    if (this->policy == Policy::Fifo) {
      this->fifo.push_back(id);
      return;
    }
    QueuedRequest request;
    request.id = id;
    request.organisation = aSource.name;
    request.weight = aSource.weight;
    request.tokens = kTokensPerRequest;
    if (this->active.size() < kOverfillFactor * kWindowSequences &&
        this->queue.IsUnderShare(aSource.name, aSource.weight)) {
      this->Start(id);
      return;
    }
    request.startBy = this->now + kDeadline;
    if (!this->queue.Enqueue(request, kTokensPerSecond, this->now)) {
      this->waiting.erase(id);
      this->results[aSource.name].refused += 1;
    }
  }

  void StartQueued() {
    for (const QueuedRequest& expired : this->queue.PopExpired(this->now)) {
      this->results[expired.organisation].refused += 1;
      this->waiting.erase(expired.id);
    }
    while (this->active.size() < kWindowSequences) {
      std::uint64_t id = 0;
      if (this->policy == Policy::Fifo) {
        if (this->fifo.empty()) {
          return;
        }
        id = this->fifo.front();
        this->fifo.pop_front();
      } else {
        const auto next = this->queue.Peek(this->now);
        if (!next) {
          return;
        }
        id = next->id;
        this->queue.Dequeue(id);
      }
      this->Start(id);
    }
  }

  void Start(std::uint64_t aId) {
    SimulatedRequest request = this->waiting.at(aId);
    this->waiting.erase(aId);
    if (this->policy == Policy::Fair) {
      this->queue.OnBegin(request.source->name, request.source->weight,
                          {40, kTokensPerRequest});
    }
    request.startedAt = this->now;
    this->active.push_back(request);
  }

  void GenerateTokens(double aStepSeconds) {
    // A full window shares the fleet's rate; with fewer sequences, each runs
    // at the rate of one in a full window.
    const double tokensPerSecond =
        kTokensPerSecond /
        std::max<double>(kWindowSequences,
                         static_cast<double>(this->active.size()));
    for (SimulatedRequest& request : this->active) {
      const bool first = request.tokens == 0;
      if (this->now - request.startedAt < FromSeconds(kPrefillSeconds)) {
        continue;
      }
      request.tokens += tokensPerSecond * aStepSeconds;
      if (first && request.arrivedAt >= kMeasuredFrom) {
        this->results[request.source->name].firstTokenSeconds.push_back(
            ToSeconds(this->now - request.arrivedAt));
      }
    }
    std::erase_if(this->active, [&](const SimulatedRequest& aRequest) {
      const bool done = aRequest.tokens >= kTokensPerRequest;
      if (done) {
        OrganisationResult& result = this->results[aRequest.source->name];
        // Responses after the deadline are not goodput: their callers have
        // disconnected.
        const bool inTime = this->now - aRequest.arrivedAt <= kDeadline;
        const bool counts = inTime && this->now >= kMeasuredFrom;
        result.tokens += counts ? kTokensPerRequest : 0;
        result.late += inTime ? 0 : 1;
        if (this->policy == Policy::Fair) {
          this->queue.OnEnd(aRequest.source->name, {40, kTokensPerRequest},
                            {40, kTokensPerRequest});
        }
      }
      return done;
    });
  }

  std::vector<Source> sources;
  Policy policy;
  Random random;
  FairQueue queue;
  std::deque<std::uint64_t> fifo;
  std::map<std::uint64_t, SimulatedRequest> waiting;
  std::vector<SimulatedRequest> active;
  std::map<std::string, OrganisationResult> results;
  std::uint64_t lastId = 0;
  Instant now;
};

double Percentile(std::vector<double> aValues, double aQuantile) {
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  const auto index = static_cast<std::size_t>(
      aQuantile * static_cast<double>(aValues.size() - 1));
  return aValues[index];
}

constexpr double kRequestsPerSecondAtCapacity =
    kTokensPerSecond / kTokensPerRequest;

double GoodputAt(double aLoad, Policy aPolicy) {
  std::vector<Source> sources;
  for (int i = 0; i < 10; ++i) {
    sources.push_back({"org" + std::to_string(i), 1,
                       aLoad * kRequestsPerSecondAtCapacity / 10});
  }
  double tokens = 0;
  for (const auto& [name, result] : AdmissionRun(sources, aPolicy, 5).Run()) {
    tokens += result.tokens;
  }
  return tokens / (kRunSeconds - kWarmUpSeconds) / kTokensPerSecond;
}

void MeasureOverload() {
  for (const Policy policy : {Policy::Fair, Policy::Fifo}) {
    const std::string name =
        policy == Policy::Fair ? "zincstep" : "fifo_unbounded";
    double peak = 0;
    double last = 0;
    for (const double load : {0.5, 1.0, 2.0, 10.0}) {
      last = GoodputAt(load, policy);
      peak = std::max(peak, last);
      char label[64];
      std::snprintf(label, sizeof label, "goodput.%s.at_%gx", name.c_str(),
                    load);
      Print(label, last, "of capacity");
    }
    Print("goodput." + name + ".10x_over_peak", last / peak, "ratio");
  }
}

void MeasureFlood() {
  const double quiet = 0.5 * kRequestsPerSecondAtCapacity / 4;
  std::vector<Source> alone;
  for (int i = 0; i < 4; ++i) {
    alone.push_back({"quiet" + std::to_string(i), 1, quiet});
  }
  std::vector<Source> flooded = alone;
  flooded.push_back({"flood", 1, 10 * kRequestsPerSecondAtCapacity, 15});
  for (const Policy policy : {Policy::Fair, Policy::Fifo}) {
    const std::string name =
        policy == Policy::Fair ? "zincstep" : "fifo_unbounded";
    auto baselineResults = AdmissionRun(alone, policy, 9).Run();
    auto floodedResults = AdmissionRun(flooded, policy, 9).Run();
    std::vector<double> before;
    std::vector<double> after;
    double share = 0;
    for (const Source& source : alone) {
      const auto& baseline = baselineResults[source.name].firstTokenSeconds;
      const auto& flooding = floodedResults[source.name].firstTokenSeconds;
      before.insert(before.end(), baseline.begin(), baseline.end());
      after.insert(after.end(), flooding.begin(), flooding.end());
      share += floodedResults[source.name].tokens /
               baselineResults[source.name].tokens / 4;
    }
    Print("flood." + name + ".others_first_token_p95_over_alone",
          Percentile(after, 0.95) / Percentile(before, 0.95), "ratio");
    Print("flood." + name + ".others_tokens_over_alone", share, "ratio");
  }
  // Each organisation's demand exceeds the capacity, so tokens are divided by
  // weight.
  std::vector<Source> weighted;
  double weights = 0;
  for (const double weight : {1.0, 2.0, 4.0}) {
    weighted.push_back({"w" + std::to_string(static_cast<int>(weight)), weight,
                        3 * kRequestsPerSecondAtCapacity});
    weights += weight;
  }
  auto results = AdmissionRun(weighted, Policy::Fair, 3).Run();
  double totalTokens = 0;
  for (const Source& source : weighted) {
    totalTokens += results[source.name].tokens;
  }
  double maxError = 0;
  for (const Source& source : weighted) {
    const double share = results[source.name].tokens / totalTokens;
    const double fair = source.weight / weights;
    maxError = std::max(maxError, std::abs(share / fair - 1));
  }
  Print("fairness.largest_error_of_share_by_weight", maxError, "of share");
}

/// Measures attempts per request and the time to recover after a 10 s outage.
void MeasureRetryStorm() {
  for (const bool hasBudget : {true, false}) {
    RetryBudget budget({});
    Random random(4);
    std::priority_queue<double, std::vector<double>, std::greater<>>
        attemptTimes;
    constexpr double kRequestsPerSecond = 500;
    constexpr double kEndSeconds = 30;
    constexpr double kMaxServedPerSecond = 1.2 * kRequestsPerSecond;
    for (double time = 0; time < kEndSeconds; time += 1 / kRequestsPerSecond) {
      attemptTimes.push(time);
    }
    const double requests = static_cast<double>(attemptTimes.size());
    double attempts = 0;
    double recoveredAt = 20;
    double tokens = 0;
    double last = 0;
    while (!attemptTimes.empty()) {
      const double time = attemptTimes.top();
      attemptTimes.pop();
      if (time >= kEndSeconds) {
        break;
      }
      attempts += 1;
      budget.OnRequest();
      tokens = std::min(kMaxServedPerSecond / 10,
                        tokens + (time - last) * kMaxServedPerSecond);
      last = time;
      const bool outage = time >= 10 && time < 20;
      const bool refused = outage || tokens < 1;
      tokens -= refused ? 0 : 1;
      if (!refused) {
        continue;
      }
      recoveredAt = std::max(recoveredAt, time);
      if (!hasBudget) {
        attemptTimes.push(time + 0.1);
      } else if (budget.TryAcquireRetry()) {
        attemptTimes.push(time + ToSeconds(budget.Backoff(1, random)));
      }
    }
    const std::string name = hasBudget ? "zincstep" : "retry_always";
    Print("retry_storm." + name + ".attempts_over_requests",
          attempts / requests, "ratio");
    Print("retry_storm." + name + ".settled_after_outage", recoveredAt - 20,
          "s");
  }
}

/// Measures by how much the daemons together exceed a domain's limit, with and
/// without reports from their peers.
void MeasureDomainLimit() {
  constexpr int kDaemons = 14;
  constexpr double kLimitTokensPerSecond = 1000;
  for (const bool hasPeerReports : {true, false}) {
    std::vector<DomainLimit> limits(kDaemons, DomainLimit({}));
    Instant now{10s};
    std::vector<std::vector<std::string>> peers(kDaemons);
    for (int i = 0; i < kDaemons; ++i) {
      for (int other = 0; other < kDaemons; ++other) {
        if (other != i) {
          peers[static_cast<std::size_t>(i)].push_back(std::to_string(other));
        }
      }
      limits[static_cast<std::size_t>(i)].SetPeers(
          peers[static_cast<std::size_t>(i)], now);
    }
    Random random(8);
    double charged = 0;
    constexpr int kSeconds = 30;
    for (int tick = 0; tick < kSeconds * 100; ++tick) {
      now += 10ms;
      // The load balancer sends most of the traffic to three daemons, and to
      // different ones each second.
      const int second = tick / 100;
      for (int i = 0; i < kDaemons; ++i) {
        const bool busy = (i + second) % kDaemons < 3;
        DomainLimit& limit = limits[static_cast<std::size_t>(i)];
        if (random.Unit() < (busy ? 0.9 : 0.05) &&
            limit.Admit("org", kLimitTokensPerSecond, 20, now)) {
          limit.Charge("org", 20, now);
          charged += second >= 5 ? 20 : 0;
        }
      }
      if (hasPeerReports && tick % 100 == 0) {
        for (int i = 0; i < kDaemons; ++i) {
          const auto demands = limits[static_cast<std::size_t>(i)].Demands(now);
          for (int other = 0; other < kDaemons; ++other) {
            if (other != i) {
              limits[static_cast<std::size_t>(other)].OnReport(
                  std::to_string(i), demands, now);
            }
          }
        }
      }
    }
    Print(std::string("domain_limit.served_over_limit.") +
              (hasPeerReports ? "peers_heard" : "peers_silent"),
          charged / (kSeconds - 5) / kLimitTokensPerSecond, "ratio");
  }
}

}  // namespace
}  // namespace zincstep::bench

int main() {
  zincstep::bench::MeasureOverload();
  zincstep::bench::MeasureFlood();
  zincstep::bench::MeasureRetryStorm();
  zincstep::bench::MeasureDomainLimit();
  return 0;
}
