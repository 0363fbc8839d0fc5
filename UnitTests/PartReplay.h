#pragma once

#include <deque>
#include <functional>
#include <map>
#include <numeric>
#include <optional>
#include <queue>

#include "Zincstep/Admission/Admission.h"

namespace zincstep {

/// Parts that sound requests have, and organisations.
inline constexpr std::size_t kSoundParts = 60;
inline constexpr std::size_t kOrganisations = 10;
inline constexpr Micros kMaxReportDelay = 400ms;
/// Time from a crash until the daemon that lost a run has detected it.
inline constexpr Micros kDetectionTime = 105ms;

struct ReplayFaults {
  /// Poison parts, each sent at this rate by callers of all organisations.
  std::size_t poisonParts = 1;
  double poisonPerSecond = 6;
  /// Share of the upstreams that crash every 3 s for another reason.
  double otherCrashes = 0;
  /// Whether all daemons are replaced halfway, and remember nothing.
  bool restartsAll = false;
  /// Maximum time from the first event of a poison run to the crash.
  Micros maxCrashDelay{0};
  /// Fewer upstreams run more streams each.
  std::size_t upstreams = 100;
  /// Whether one half of the daemons never receives the other's reports.
  bool isPartitioned = false;
  /// Length of the response of a poison request, from its first event to its
  /// last; none: it never completes. A run that is resumed has the rest.
  std::optional<Micros> poisonLength;
};

/// Simulates daemons whose requests share parts of their prompts. One part
/// crashes each upstream that runs it; requests with it share their other parts
/// with sound ones. Daemons receive each other's reports late.
class PartReplay {
 public:
  PartReplay(std::size_t aDaemons, ReplayFaults aFaults, std::uint64_t aSeed)
      : faults(aFaults), random(aSeed), upSince(aFaults.upstreams, Instant{}) {
    this->lives.resize(aFaults.upstreams);
    std::iota(this->lives.begin(), this->lives.end(), std::uint64_t{1});
    this->incarnation = aFaults.upstreams;
    for (std::size_t i = 0; i < aDaemons; ++i) {
      this->trackers.emplace_back(CrashTrackerSettings{});
    }
  }

  void Run(Micros aFor) {
    this->SchedulePoison(aFor);
    for (double at = 0; at < ToSeconds(aFor); at += 1 / kSoundPerSecond) {
      this->ScheduleAt(FromSeconds(at), [this] { this->SendSound(); });
    }
    for (Micros at = 3s; at<aFor&& this->faults.otherCrashes> 0; at += 3s) {
      this->ScheduleAt(at, [this] { this->CrashOthers(); });
    }
    if (this->faults.restartsAll) {
      this->ScheduleAt(aFor / 2, [this] { this->RestartAll(); });
    }
    this->lastThird = Instant{aFor * 2 / 3};
    while (!this->events.empty() && this->events.top().at <= Instant{aFor}) {
      const Event event = this->events.top();
      this->events.pop();
      this->now = event.at;
      event.act();
    }
  }

  int sound = 0;
  int refusedSound = 0;
  int poisonCrashes = 0;
  /// Requests with a poison part sent when all daemons know of its fifth crash.
  int sentAfterBlock = 0;
  /// The same later than 3 s after the fifth crash; the operators' bound is 3.
  int sentLate = 0;
  /// Requests with a poison part sent in the last third.
  int sentAtEnd = 0;

 private:
  static constexpr double kSoundPerSecond = 60;
  static constexpr Micros kPoisonFrom = 5s;

  struct Request {
    CrashCandidates carried;
    std::size_t daemon = 0;
    /// Number of its poison part; none: it is sound.
    std::optional<std::size_t> poison;
    int runsLeft = 2;
    /// Rest of its response.
    Micros remaining{0};
  };
  struct Running {
    Request request;
    std::size_t upstream = 0;
    /// Incarnation of the upstream.
    std::uint64_t life = 0;
    Instant firstEventAt;
    bool isDone = false;
  };
  struct Event {
    Instant at;
    std::uint64_t number = 0;
    std::function<void()> act;
    bool operator<(const Event& aOther) const {
      return std::pair(aOther.at, aOther.number) <
             std::pair(this->at, this->number);
    }
  };

  void ScheduleAt(Micros aAt, std::function<void()> aAct) {
    this->events.push({Instant{aAt}, ++this->lastEvent, std::move(aAct)});
  }
  void ScheduleAfter(Micros aDelay, std::function<void()> aAct) {
    this->ScheduleAt(this->now - Instant{} + aDelay, std::move(aAct));
  }
  Micros RandomBelow(Micros aMax) {
    return FromSeconds(this->random.Unit() * ToSeconds(aMax));
  }

  void SchedulePoison(Micros aFor) {
    for (std::size_t part = 0; part < this->faults.poisonParts; ++part) {
      for (double at = ToSeconds(kPoisonFrom); at < ToSeconds(aFor);
           at += 1 / this->faults.poisonPerSecond) {
        this->ScheduleAt(FromSeconds(at),
                         [this, part] { this->Send(this->NewRequest(part)); });
      }
    }
  }

  Request NewRequest(std::optional<std::size_t> aPoison) {
    this->lastRequest += 1;
    const std::string body = std::to_string(this->lastRequest);
    const std::string organisation =
        "o" + std::to_string(this->random.Below(kOrganisations));
    // The first parts are much more frequent than the last.
    const double drawn = this->random.Unit();
    std::vector<std::string> parts{
        "s" + std::to_string(static_cast<int>(drawn * drawn * kSoundParts))};
    if (aPoison) {
      parts.push_back("p" + std::to_string(*aPoison));
    }
    const RequestIdentity identity{"POST", "h", "/llm/", organisation, body};
    return {CandidatesOf(identity, "model", parts),
            this->random.Below(this->trackers.size()), aPoison, 2,
            this->faults.poisonLength.value_or(Micros{0})};
  }

  void SendSound() {
    this->sound += 1;
    if (!this->Send(this->NewRequest(std::nullopt))) {
      this->refusedSound += 1;
    }
  }

  /// Returns whether the request was not refused as blocked.
  bool Send(Request aRequest) {
    const CrashTracker& tracker = this->trackers[aRequest.daemon];
    if (tracker.FindBlock(aRequest.carried, this->now)) {
      return false;
    }
    std::vector<std::size_t> up;
    for (std::size_t i = 0; i < this->upSince.size(); ++i) {
      if (this->upSince[i] <= this->now) {
        up.push_back(i);
      }
    }
    if (up.empty()) {
      return true;
    }
    aRequest.runsLeft -= 1;
    this->runningOf[aRequest.daemon] += 1;
    // Few first stages carry most requests.
    const double drawn = this->random.Unit();
    const std::size_t upstream = up[static_cast<std::size_t>(
        drawn * drawn * static_cast<double>(up.size()))];
    const std::size_t number = this->running.size();
    const Micros firstEvent = 50ms + this->RandomBelow(100ms);
    this->running.push_back({aRequest, upstream, this->lives[upstream],
                             this->now + firstEvent, false});
    if (aRequest.poison) {
      this->OnPoisonSent(*aRequest.poison);
      if (this->faults.poisonLength) {
        this->ScheduleAfter(firstEvent + aRequest.remaining,
                            [this, number] { this->Complete(number); });
      }
      this->ScheduleAfter(
          firstEvent + (this->faults.poisonLength
                            ? this->faults.maxCrashDelay
                            : this->RandomBelow(this->faults.maxCrashDelay)),
          [this, number] { this->CrashByPoison(number); });
    } else {
      this->ScheduleAfter(1s + this->RandomBelow(4s),
                          [this, number] { this->Complete(number); });
    }
    return true;
  }

  void OnPoisonSent(std::size_t aPart) {
    const auto fifth = this->fifthCrashAt.find(aPart);
    const bool isLate =
        fifth != this->fifthCrashAt.end() &&
        this->now > fifth->second + kMaxReportDelay + kDetectionTime;
    this->sentAfterBlock += isLate ? 1 : 0;
    this->sentAtEnd += this->now > this->lastThird ? 1 : 0;
    this->sentLate +=
        fifth != this->fifthCrashAt.end() && this->now > fifth->second + 3s;
  }

  void CrashByPoison(std::size_t aNumber) {
    const Running& run = this->running[aNumber];
    if (this->lives[run.upstream] != run.life) {
      return;  // It has crashed already.
    }
    const std::size_t part = *run.request.poison;
    this->poisonCrashes += 1;
    this->crashesOf[part] += 1;
    if (this->crashesOf[part] == 5) {
      this->fifthCrashAt[part] = this->now;
    }
    this->Crash(run.upstream);
  }

  void CrashOthers() {
    for (std::size_t one = 0; one < this->upSince.size(); ++one) {
      if (this->random.Unit() < this->faults.otherCrashes) {
        this->Crash(one);
      }
    }
  }

  void Crash(std::size_t aUpstream) {
    if (this->upSince[aUpstream] > this->now) {
      return;
    }
    this->upSince[aUpstream] = this->now + 3s;
    this->incarnation += 1;
    const std::uint64_t incarnationNow =
        std::exchange(this->lives[aUpstream], this->incarnation);
    for (std::size_t i = 0; i < this->running.size(); ++i) {
      Running& run = this->running[i];
      if (run.isDone || run.upstream != aUpstream) {
        continue;
      }
      run.isDone = true;
      this->runningOf[run.request.daemon] -= 1;
      Request request = run.request;
      request.remaining -= std::max(Micros{0}, this->now - run.firstEventAt);
      this->Suspect(request, incarnationNow,
                    this->now <= run.firstEventAt
                        ? CrashEvidence::NoResponse
                        : CrashEvidence::ResponseBegun);
      if (request.runsLeft > 0) {
        this->ScheduleAfter(5ms, [this, request] { this->Send(request); });
      }
    }
  }

  void Suspect(const Request& aRequest, std::uint64_t aIncarnation,
               CrashEvidence aEvidence) {
    if (aEvidence == CrashEvidence::NoResponse) {
      aRequest.carried.ForEach([&](Fingerprint aOne) {
        this->trackers[aRequest.daemon].OnSuspected({aOne, aIncarnation});
      });
    }
    this->ScheduleAfter(
        kDetectionTime, [this, aRequest, aIncarnation, aEvidence] {
          this->trackers[aRequest.daemon].CountCrash(
              aIncarnation, 1, this->runningOf[aRequest.daemon] + 1, this->now);
          aRequest.carried.ForEach([&](Fingerprint aOne) {
            this->RecordCrash({aOne, aIncarnation, aEvidence}, aRequest.daemon);
          });
        });
  }

  void RecordCrash(const UpstreamCrash& aCrash, std::size_t aDaemon) {
    CrashTracker& tracker = this->trackers[aDaemon];
    if (aCrash.evidence == CrashEvidence::NoResponse) {
      tracker.OnSuspicionResolved(aCrash);
    }
    if (tracker.OnCrash(aCrash, this->now) == CrashVerdict::Ignored) {
      return;
    }
    this->Broadcast(aDaemon, [this, aCrash, aDaemon](std::size_t aTo) {
      this->trackers[aTo].CountCrash(aCrash.upstream, 0, this->runningOf[aTo],
                                     this->now);
      const CrashVerdict verdict =
          this->trackers[aTo].OnCrash(aCrash, this->now);
      if (verdict == CrashVerdict::Ignored) {
        this->ScheduleAfter(this->RandomBelow(kMaxReportDelay),
                            [this, aCrash, aDaemon] {
                              this->OnCleared(aCrash.candidate, aDaemon);
                            });
      }
    });
  }

  void OnCleared(Fingerprint aOne, std::size_t aReporter) {
    if (this->trackers[aReporter].Clear(aOne)) {
      this->Broadcast(aReporter, [this, aOne](std::size_t aTo) {
        this->trackers[aTo].Clear(aOne);
      });
    }
  }

  void Complete(std::size_t aNumber) {
    Running& run = this->running[aNumber];
    if (run.isDone) {
      return;
    }
    run.isDone = true;
    const std::size_t daemon = run.request.daemon;
    this->runningOf[daemon] -= 1;
    run.request.carried.ForEach([&](Fingerprint aOne) {
      if (this->trackers[daemon].OnCompleted(aOne, this->now)) {
        this->Broadcast(daemon, [this, aOne](std::size_t aTo) {
          this->trackers[aTo].Clear(aOne);
        });
      }
    });
  }

  void RestartAll() {
    std::set<Fingerprint> listed = this->trackers.front().Blocked(this->now);
    for (CrashTracker& tracker : this->trackers) {
      tracker = CrashTracker{CrashTrackerSettings{}};
      tracker.SetBlockList(listed, this->now);
    }
  }

  void Broadcast(std::size_t aFrom,
                 const std::function<void(std::size_t)>& aUpdate) {
    for (std::size_t to = 0; to < this->trackers.size(); ++to) {
      const bool isCut = this->faults.isPartitioned && to % 2 != aFrom % 2;
      if (to != aFrom && !isCut) {
        this->ScheduleAfter(this->RandomBelow(kMaxReportDelay),
                            [to, aUpdate] { aUpdate(to); });
      }
    }
  }

  ReplayFaults faults;
  Random random;
  Instant now{};
  std::vector<Instant> upSince;
  /// Incarnations, by upstream.
  std::vector<std::uint64_t> lives;
  std::deque<CrashTracker> trackers;
  std::deque<Running> running;
  /// Runs that have not ended, by daemon.
  std::map<std::size_t, std::size_t> runningOf;
  std::priority_queue<Event> events;
  std::map<std::size_t, int> crashesOf;
  std::map<std::size_t, Instant> fifthCrashAt;
  std::uint64_t lastEvent = 0;
  std::uint64_t lastRequest = 0;
  std::uint64_t incarnation = 0;
  Instant lastThird{};
};

}  // namespace zincstep
