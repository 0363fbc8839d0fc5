#pragma once

#include <functional>
#include <utility>
#include <vector>

#include "UnitTests/CrashedServiceReplay.h"

namespace zincstep {

/// One daemon: what it knows, and its probes.
class CrashedServiceReplay::Daemon final : public UpstreamControl,
                                           public CrashListener {
 public:
  Daemon(CrashedServiceReplay& aReplay, std::size_t aNumber)
      : replay(aReplay),
        number(aNumber),
        detector(this->tracker, *this, aReplay.clock, *this) {
    this->detector.SetUpstreams([this](const std::string& aService) {
      return this->directory.OfService(aService);
    });
  }

  void ProbeConnection(const UpstreamEntry& aUpstream, Micros aTimeout,
                       std::function<void(Reachability)> aDone) override {
    const std::size_t at = this->replay.ReplicaAt(aUpstream.address);
    const Replica& replica = this->replay.replicas[at];
    const PathCut* cut = this->replay.CutOf(this->number);
    if (cut == nullptr && replica.isAlive) {
      this->replay.ScheduleAfter(aTimeout, [&replica, life = replica.life,
                                            done = std::move(aDone)] {
        done(replica.isAlive && replica.life == life ? Reachability::Reached
                                                     : Reachability::Dropped);
      });
      return;
    }
    const Reachability result =
        ReachabilityOf(cut != nullptr ? cut->how : this->replay.settings.down);
    this->replay.ScheduleAfter(
        result == Reachability::Silent ? aTimeout : kConnectTime,
        [result, done = std::move(aDone)] { done(result); });
  }
  void Report(const UpstreamEntry&, Micros, Done<UpstreamReport>) override {}
  void Place(const UpstreamEntry&, LayerRange, std::uint64_t, ReleaseMode,
             Done<OrderOutcome>) override {}
  void Reroute(const std::string&, const PoolChain&,
               Done<OrderOutcome>) override {}

  void OnCrashes(const std::vector<UpstreamCrash>& aCrashes) override {
    this->replay.Broadcast(this->number, [aCrashes](Daemon& aTo) {
      for (const UpstreamCrash& crash : aCrashes) {
        aTo.detector.OnCrash(crash, Provenance::Reported);
      }
    });
  }
  void OnReportDue(const std::vector<UpstreamCrash>& aCrashes) override {
    this->OnCrashes(aCrashes);
  }
  void OnSuspected(const std::vector<UpstreamCrash>& aCrashes) override {
    this->replay.Broadcast(this->number, [this, aCrashes](Daemon& aTo) {
      for (const UpstreamCrash& crash : aCrashes) {
        if (!aTo.detector.OnSuspectedByPeer(crash)) {
          this->OnClearedByPeer(crash.candidate);
        }
      }
    });
  }
  void OnWithdrawn(const std::vector<UpstreamCrash>& aCrashes) override {
    this->replay.Broadcast(this->number, [aCrashes](Daemon& aTo) {
      for (const UpstreamCrash& crash : aCrashes) {
        aTo.detector.OnWithdrawnByPeer(crash);
      }
    });
  }
  void OnCleared(Fingerprint aRequest) override {
    this->replay.Broadcast(this->number, [aRequest](Daemon& aTo) {
      aTo.OnClearedByPeer(aRequest);
    });
  }
  void OnClearedByPeer(Fingerprint aRequest) {
    if (this->detector.OnClearedByPeer(aRequest)) {
      this->OnCleared(aRequest);
    }
  }
  void OnBlocked(Fingerprint) override {}
  void OnUpstreamSuspected() override {}

  static constexpr Micros kConnectTime = 1ms;

  static Reachability ReachabilityOf(DownLink aLink) {
    switch (aLink) {
      case DownLink::Refuses:
        return Reachability::Refused;
      case DownLink::Silent:
        return Reachability::Silent;
      case DownLink::Drops:
        return Reachability::Dropped;
    }
    return Reachability::Silent;
  }

  CrashedServiceReplay& replay;
  std::size_t number;
  UpstreamDirectory directory;
  CrashTracker tracker{CrashTrackerSettings{}};
  CrashDetector detector;
};

}  // namespace zincstep
