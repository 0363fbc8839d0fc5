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

constexpr double kCapacity = 2000;
constexpr int kWindow = 100;
constexpr double kOverfill = 1.15;
constexpr double kTokens = 200;
constexpr double kPromptSeconds = 0.05;
constexpr double kRunSeconds = 200;
constexpr Micros kDeadline = 20s;
/// Before it the window fills, in step with the first arrivals.
constexpr double kWarmUpSeconds = 20;
constexpr Instant kMeasuredFrom{21s};

/// One organisation's arrivals.
struct Source {
  std::string name;
  double weight = 1;
  double requestsPerSecond = 0;
  /// Seconds after the start at which it begins.
  double from = 0;
};

/// What came of one organisation's requests.
struct Served {
  double tokens = 0;
  std::vector<double> firstToken;
  int refused = 0;
  int late = 0;
};

/// How requests are let in.
enum class Policy { Fair, Fifo };

/// A daemon's share of a fleet under open-loop arrivals: a window of
/// sequences that share a rate of tokens. Time is a fake clock's.
class AdmissionRun {
 public:
  AdmissionRun(std::vector<Source> aSources, Policy aPolicy,
               std::uint64_t aSeed)
      : sources(std::move(aSources)),
        policy(aPolicy),
        random(aSeed),
        queue(FairQueueSettings{}) {}

  std::map<std::string, Served> Run() {
    constexpr double kStep = 0.002;
    std::vector<double> next;
    for (const Source& source : this->sources) {
      next.push_back(source.from + this->Gap(source));
    }
    for (double time = 0; time < kRunSeconds; time += kStep) {
      this->now = Instant{FromSeconds(1 + time)};
      for (std::size_t i = 0; i < this->sources.size(); ++i) {
        for (; next[i] <= time; next[i] += this->Gap(this->sources[i])) {
          this->Arrive(this->sources[i]);
        }
      }
      this->Begin();
      this->Serve(kStep);
    }
    return this->served;
  }

 private:
  struct Active {
    const Source* source = nullptr;
    Instant came;
    Instant begun;
    double tokens = 0;
  };

  double Gap(const Source& aSource) {
    return -std::log(1 - this->random.Unit()) / aSource.requestsPerSecond;
  }

  void Arrive(const Source& aSource) {
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
    request.tokens = kTokens;
    if (this->active.size() < kOverfill * kWindow &&
        this->queue.IsUnderShare(aSource.name, aSource.weight)) {
      this->Start(id);
      return;
    }
    request.startBy = this->now + kDeadline;
    if (!this->queue.Enqueue(request, kCapacity, this->now)) {
      this->waiting.erase(id);
      this->served[aSource.name].refused += 1;
    }
  }

  void Begin() {
    for (const QueuedRequest& late : this->queue.PopExpired(this->now)) {
      this->served[late.organisation].refused += 1;
      this->waiting.erase(late.id);
    }
    while (this->active.size() < kWindow) {
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
    Active one = this->waiting.at(aId);
    this->waiting.erase(aId);
    if (this->policy == Policy::Fair) {
      this->queue.OnBegin(one.source->name, one.source->weight, {40, kTokens});
    }
    one.begun = this->now;
    this->active.push_back(one);
  }

  void Serve(double aStep) {
    // Each sequence steps at its own pace, up to the fleet's rate.
    const double pace =
        kCapacity /
        std::max<double>(kWindow, static_cast<double>(this->active.size()));
    for (Active& one : this->active) {
      const bool first = one.tokens == 0;
      if (this->now - one.begun < FromSeconds(kPromptSeconds)) {
        continue;
      }
      one.tokens += pace * aStep;
      if (first && one.came >= kMeasuredFrom) {
        this->served[one.source->name].firstToken.push_back(
            ToSeconds(this->now - one.came));
      }
    }
    std::erase_if(this->active, [&](const Active& aOne) {
      const bool done = aOne.tokens >= kTokens;
      if (done) {
        Served& served = this->served[aOne.source->name];
        // Late answers are no goodput: their callers have gone.
        const bool inTime = this->now - aOne.came <= kDeadline;
        const bool counts = inTime && this->now >= kMeasuredFrom;
        served.tokens += counts ? kTokens : 0;
        served.late += inTime ? 0 : 1;
        if (this->policy == Policy::Fair) {
          this->queue.OnEnd(aOne.source->name, {40, kTokens}, {40, kTokens});
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
  std::map<std::uint64_t, Active> waiting;
  std::vector<Active> active;
  std::map<std::string, Served> served;
  std::uint64_t lastId = 0;
  Instant now;
};

double Percentile(std::vector<double> aValues, double aShare) {
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  const auto at = static_cast<std::size_t>(
      aShare * static_cast<double>(aValues.size() - 1));
  return aValues[at];
}

constexpr double kRequestsAtCapacity = kCapacity / kTokens;

double GoodputAt(double aLoad, Policy aPolicy) {
  std::vector<Source> sources;
  for (int i = 0; i < 10; ++i) {
    sources.push_back(
        {"org" + std::to_string(i), 1, aLoad * kRequestsAtCapacity / 10});
  }
  double tokens = 0;
  for (const auto& [name, one] : AdmissionRun(sources, aPolicy, 5).Run()) {
    tokens += one.tokens;
  }
  return tokens / (kRunSeconds - kWarmUpSeconds) / kCapacity;
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
  const double quiet = 0.5 * kRequestsAtCapacity / 4;
  std::vector<Source> alone;
  for (int i = 0; i < 4; ++i) {
    alone.push_back({"quiet" + std::to_string(i), 1, quiet});
  }
  std::vector<Source> flooded = alone;
  flooded.push_back({"flood", 1, 10 * kRequestsAtCapacity, 15});
  for (const Policy policy : {Policy::Fair, Policy::Fifo}) {
    const std::string name =
        policy == Policy::Fair ? "zincstep" : "fifo_unbounded";
    auto without = AdmissionRun(alone, policy, 9).Run();
    auto with = AdmissionRun(flooded, policy, 9).Run();
    std::vector<double> before;
    std::vector<double> after;
    double share = 0;
    for (const Source& source : alone) {
      const auto& one = without[source.name].firstToken;
      const auto& other = with[source.name].firstToken;
      before.insert(before.end(), one.begin(), one.end());
      after.insert(after.end(), other.begin(), other.end());
      share += with[source.name].tokens / without[source.name].tokens / 4;
    }
    Print("flood." + name + ".others_first_token_p95_over_alone",
          Percentile(after, 0.95) / Percentile(before, 0.95), "ratio");
    Print("flood." + name + ".others_tokens_over_alone", share, "ratio");
  }
  // All ask for more than they can have: tokens go by weight.
  std::vector<Source> weighted;
  double weights = 0;
  for (const double weight : {1.0, 2.0, 4.0}) {
    weighted.push_back({"w" + std::to_string(static_cast<int>(weight)), weight,
                        3 * kRequestsAtCapacity});
    weights += weight;
  }
  auto served = AdmissionRun(weighted, Policy::Fair, 3).Run();
  double all = 0;
  for (const Source& source : weighted) {
    all += served[source.name].tokens;
  }
  double worst = 0;
  for (const Source& source : weighted) {
    const double share = served[source.name].tokens / all;
    const double fair = source.weight / weights;
    worst = std::max(worst, std::abs(share / fair - 1));
  }
  Print("fairness.largest_error_of_share_by_weight", worst, "of share");
}

/// Attempts per request and the time to settle after an outage of 10 s.
void MeasureRetryStorm() {
  for (const bool budgeted : {true, false}) {
    RetryBudget budget({});
    Random random(4);
    std::priority_queue<double, std::vector<double>, std::greater<>> tries;
    constexpr double kRate = 500;
    constexpr double kEnd = 30;
    constexpr double kServiceLimit = 1.2 * kRate;
    for (double at = 0; at < kEnd; at += 1 / kRate) {
      tries.push(at);
    }
    const double requests = static_cast<double>(tries.size());
    double attempts = 0;
    double settled = 20;
    double tokens = 0;
    double last = 0;
    while (!tries.empty()) {
      const double at = tries.top();
      tries.pop();
      if (at >= kEnd) {
        break;
      }
      attempts += 1;
      budget.OnRequest();
      tokens =
          std::min(kServiceLimit / 10, tokens + (at - last) * kServiceLimit);
      last = at;
      const bool outage = at >= 10 && at < 20;
      const bool refused = outage || tokens < 1;
      tokens -= refused ? 0 : 1;
      if (!refused) {
        continue;
      }
      settled = std::max(settled, at);
      if (!budgeted) {
        tries.push(at + 0.1);
      } else if (budget.TryAcquireRetry()) {
        tries.push(at + ToSeconds(budget.Backoff(1, random)));
      }
    }
    const std::string name = budgeted ? "zincstep" : "retry_always";
    Print("retry_storm." + name + ".attempts_over_requests",
          attempts / requests, "ratio");
    Print("retry_storm." + name + ".settled_after_outage", settled - 20, "s");
  }
}

/// How far daemons together pass a domain's limit, heard and cut off.
void MeasureDomainLimit() {
  constexpr int kDaemons = 14;
  constexpr double kLimit = 1000;
  for (const bool hears : {true, false}) {
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
      // The balancer moves: three daemons have most of the traffic, and
      // each second others.
      const int second = tick / 100;
      for (int i = 0; i < kDaemons; ++i) {
        const bool busy = (i + second) % kDaemons < 3;
        DomainLimit& one = limits[static_cast<std::size_t>(i)];
        if (random.Unit() < (busy ? 0.9 : 0.05) &&
            one.Admit("org", kLimit, 20, now)) {
          one.Charge("org", 20, now);
          charged += second >= 5 ? 20 : 0;
        }
      }
      if (hears && tick % 100 == 0) {
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
              (hears ? "peers_heard" : "peers_silent"),
          charged / (kSeconds - 5) / kLimit, "ratio");
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
