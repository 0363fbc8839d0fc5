#include "UnitTests/CommonSilenceReplay.h"

#include <algorithm>
#include <map>
#include <optional>

namespace zincstep {

namespace {

constexpr Micros kStep = 1ms;
/// Time after which a silent stream's upstream is suspected: 70 ms without an
/// event, a probe, and what the event gap and the load of the machine add.
constexpr Micros kMinDetection = 120ms;
constexpr std::uint64_t kDetectionSpreadMs = 150;
/// Time in which a daemon verifies a peer's suspicion.
constexpr Micros kVerification = 50ms;
/// Probes of suspected upstreams, which clear the suspicion.
constexpr Micros kProbeInterval = 100ms;
constexpr Micros kGossipInterval = 400ms;
constexpr Micros kPeerSuspicionMaxAge = 500ms;
constexpr Micros kTimeAfterSilence = 4s;
constexpr std::size_t kMaxAsked = 16;
constexpr int kMaxRuns = 3;
constexpr const char* kService = "model";

struct Daemon;

struct Stream {
  std::size_t upstream = 0;
  /// The daemon that has the run.
  Daemon* holder = nullptr;
  bool isSilent = false;
  bool isResumed = false;
  /// No run is open.
  bool isWaiting = false;
  Micros detectAt{};
  int runs = 1;
};

struct Daemon {
  std::string name;
  std::string domain;
  bool isCutOff = false;
  UpstreamDirectory directory;
  std::unique_ptr<ForwardChooser> chooser;
  std::unique_ptr<WorkExchange> exchange;
  /// Knows the number of listed upstreams, which does not change.
  std::unique_ptr<ReachMonitor> reach;
  std::vector<UpstreamPtr> upstreams;
  std::vector<Stream> streams;
  /// Time at which a peer's suspicion has been verified; none if none is due.
  std::vector<std::optional<Micros>> verifyAt;
  std::vector<Instant> peerSuspectedAt;
  Micros nextGossip{};
  Micros nextProbe{};
  bool isGossipDue = false;
};

class Replay {
 public:
  explicit Replay(const SilenceReplaySettings& aSettings)
      : settings(aSettings), random(aSettings.seed) {
    this->clock.Advance(60s);
    RouteConfiguration configuration;
    configuration.services.resize(1);
    configuration.services[0].name = kService;
    this->table.emplace(configuration);
    for (int i = 0; i < aSettings.daemons; ++i) {
      this->AddDaemon(i);
    }
    std::vector<ForwardPeer> all;
    for (const auto& daemon : this->daemons) {
      all.push_back({daemon->name, "127.0.0.1:1", daemon->domain});
    }
    for (auto& daemon : this->daemons) {
      std::vector<ForwardPeer> peers = all;
      std::erase_if(peers, [&](const ForwardPeer& aOne) {
        return aOne.name == daemon->name;
      });
      daemon->chooser->SetPeers(peers);
    }
  }

  SilenceReplayOutcome Run() {
    const Micros end = this->settings.silence + kTimeAfterSilence;
    for (; this->time < end; this->time += kStep) {
      for (auto& daemon : this->daemons) {
        this->TickSuspicions(*daemon);
      }
      for (auto& daemon : this->daemons) {
        this->TickGossip(*daemon);
      }
      for (auto& daemon : this->daemons) {
        this->TickStreams(*daemon);
      }
      this->clock.Advance(kStep);
    }
    return this->outcome;
  }

 private:
  void AddDaemon(int aNumber) {
    auto daemon = std::make_unique<Daemon>();
    daemon->name = "d" + std::to_string(aNumber);
    daemon->domain = aNumber < this->settings.daemons / 2 ? "a" : "b";
    daemon->isCutOff = aNumber < this->settings.cutOffDaemons;
    daemon->nextGossip = Micros{1000 * std::int64_t(this->random.Below(400))};
    daemon->nextProbe = Micros{1000 * std::int64_t(this->random.Below(100))};
    Daemon& one = *daemon;
    one.chooser = std::make_unique<ForwardChooser>(
        ForwardChooserSettings{one.domain}, this->clock, this->random);
    one.exchange = std::make_unique<WorkExchange>(
        one.directory, [this, &one](const UpstreamPtr& aUpstream) {
          const std::size_t i = IndexOf(one, *aUpstream);
          if (!one.verifyAt[i]) {
            one.verifyAt[i] = this->time + kVerification;
          }
        });
    for (int i = 0; i < this->settings.upstreams; ++i) {
      UpstreamEntry entry;
      entry.id = "u" + std::to_string(i);
      entry.service = kService;
      entry.kind = "k";
      entry.layers = {0, 2};
      one.directory.Put(entry, this->clock.Now());
      one.upstreams.push_back(one.directory.Find(entry.id));
      Stream stream;
      stream.upstream = static_cast<std::size_t>(i);
      stream.holder = &one;
      stream.isSilent = this->IsSilent(one, stream.upstream);
      stream.detectAt = this->DrawDetection();
      one.upstreams.back()->localWork = 1;
      one.streams.push_back(stream);
      this->outcome.streams += stream.isSilent ? 1 : 0;
    }
    one.verifyAt.resize(one.upstreams.size());
    one.peerSuspectedAt.resize(one.upstreams.size());
    one.reach = std::make_unique<ReachMonitor>(this->clock, this->metrics);
    one.reach->Tick(*this->table, one.directory);
    one.exchange->SetOnPeerReach(
        [&one](const std::string& aPeer, const auto& aUnreachable) {
          one.chooser->OnReach(aPeer, one.reach->CutOffFrom(aUnreachable));
        });
    this->daemons.push_back(std::move(daemon));
  }

  Micros DrawDetection() {
    return this->time + kMinDetection +
           Micros{1000 * std::int64_t(this->random.Below(kDetectionSpreadMs))};
  }

  static std::size_t IndexOf(const Daemon& aDaemon,
                             const LiveUpstream& aUpstream) {
    std::size_t i = 0;
    while (aDaemon.upstreams[i].get() != &aUpstream) {
      ++i;
    }
    return i;
  }

  bool IsSilent(const Daemon& aDaemon, std::size_t aUpstream) const {
    const bool isSilent =
        aDaemon.isCutOff ||
        aUpstream < static_cast<std::size_t>(this->settings.silentUpstreams);
    return isSilent && this->time < this->settings.silence;
  }

  void Suspect(Daemon& aDaemon, std::size_t aUpstream) {
    LiveUpstream& upstream = *aDaemon.upstreams[aUpstream];
    if (!upstream.IsSuspect(this->clock.Now())) {
      upstream.Suspect(this->clock.Now());
      aDaemon.isGossipDue = true;
    }
  }

  void TickSuspicions(Daemon& aDaemon) {
    const Instant now = this->clock.Now();
    for (const Stream& stream : aDaemon.streams) {
      if (stream.isSilent && stream.holder == &aDaemon &&
          this->time == stream.detectAt &&
          this->IsSilent(aDaemon, stream.upstream)) {
        this->Suspect(aDaemon, stream.upstream);
      }
    }
    for (std::size_t i = 0; i < aDaemon.upstreams.size(); ++i) {
      if (aDaemon.verifyAt[i] && this->time >= *aDaemon.verifyAt[i]) {
        aDaemon.verifyAt[i].reset();
        if (this->IsSilent(aDaemon, i)) {
          this->Suspect(aDaemon, i);
        }
      }
    }
    if (this->time < aDaemon.nextProbe) {
      return;
    }
    aDaemon.nextProbe += kProbeInterval;
    for (std::size_t i = 0; i < aDaemon.upstreams.size(); ++i) {
      if (!this->IsSilent(aDaemon, i)) {
        aDaemon.upstreams[i]->OnResponse(now);
      }
    }
  }

  void TickGossip(Daemon& aDaemon) {
    if (this->time >= aDaemon.nextGossip) {
      aDaemon.nextGossip += kGossipInterval;
      aDaemon.isGossipDue = true;
    }
    if (!std::exchange(aDaemon.isGossipDue, false)) {
      return;
    }
    const Instant now = this->clock.Now();
    const auto outgoing = aDaemon.exchange->Build({}, now);
    if (!outgoing) {
      return;
    }
    const bool reachesAll =
        this->settings.daemons <= this->settings.maxFullGossip;
    for (auto& other : this->daemons) {
      if (other.get() == &aDaemon ||
          (!reachesAll && other->domain != aDaemon.domain)) {
        continue;
      }
      for (const UpstreamWork& work : outgoing->gossip.works) {
        if (work.isSuspect) {
          const UpstreamPtr upstream =
              other->directory.FindNumber(work.upstream);
          other->peerSuspectedAt[IndexOf(*other, *upstream)] = now;
        }
      }
      other->exchange->Apply(aDaemon.name, outgoing->gossip, now);
    }
  }

  UpstreamReach Reach(const Daemon& aDaemon) const {
    return ReachOf(aDaemon.upstreams, this->clock.Now());
  }

  bool MayHandOver(const Daemon& aDaemon) const {
    if (!this->Reach(aDaemon).IsCutOff()) {
      return false;
    }
    switch (this->settings.design) {
      case HandOverDesign::AnyPeer:
        return aDaemon.chooser->Choose(kService, {}).has_value();
      case HandOverDesign::ReachingPeer:
        return aDaemon.chooser->HasReaching(kService,
                                            this->Reach(aDaemon).unreachable);
      case HandOverDesign::AgreedSilence:
        break;
    }
    const Instant now = this->clock.Now();
    std::size_t agreed = 0;
    std::size_t unreachable = 0;
    for (std::size_t i = 0; i < aDaemon.upstreams.size(); ++i) {
      if (aDaemon.upstreams[i]->IsSuspect(now)) {
        const Instant heard = aDaemon.peerSuspectedAt[i];
        unreachable += 1;
        agreed +=
            heard != Instant{} && now - heard < kPeerSuspicionMaxAge ? 1 : 0;
      }
    }
    return 2 * agreed < unreachable &&
           aDaemon.chooser->Choose(kService, {}).has_value();
  }

  /// Returns an upstream that the daemon would choose.
  std::optional<std::size_t> Usable(const Daemon& aDaemon) {
    std::vector<std::size_t> usable;
    for (std::size_t i = 0; i < aDaemon.upstreams.size(); ++i) {
      if (!aDaemon.upstreams[i]->IsSuspect(this->clock.Now())) {
        usable.push_back(i);
      }
    }
    return usable.empty()
               ? std::nullopt
               : std::optional(usable[this->random.Below(usable.size())]);
  }

  /// Begins a run; the upstream may be silent without being suspected.
  void BeginRun(Stream& aStream, Daemon& aHolder, std::size_t aUpstream) {
    aStream.runs += 1;
    aStream.holder = &aHolder;
    aStream.upstream = aUpstream;
    aStream.isWaiting = false;
    aStream.detectAt = this->DrawDetection();
    aStream.isResumed = !this->IsSilent(aHolder, aUpstream);
  }

  /// Asks other daemons in turn.
  void AskPeers(Daemon& aDaemon, Stream& aStream) {
    std::vector<std::string> tried;
    while (tried.size() < kMaxAsked) {
      const auto peer = aDaemon.chooser->Choose(kService, tried);
      if (!peer) {
        return;
      }
      tried.push_back(peer->name);
      Daemon& other = **std::find_if(
          this->daemons.begin(), this->daemons.end(),
          [&](const auto& aOne) { return aOne->name == peer->name; });
      if (const auto chosen = this->Usable(other)) {
        aDaemon.chooser->OnServed(peer->name, kService);
        this->BeginRun(aStream, other, *chosen);
        return;
      }
      this->outcome.refusals += 1;
      aDaemon.chooser->OnRefused(peer->name, kService);
    }
  }

  void TickStreams(Daemon& aDaemon) {
    for (Stream& stream : aDaemon.streams) {
      if (!stream.isSilent || stream.isResumed) {
        continue;
      }
      this->TickStream(aDaemon, stream);
      this->outcome.stalled += stream.isResumed ? Micros{0} : kStep;
      if (aDaemon.isCutOff && !stream.isResumed &&
          this->time + kStep == this->settings.silence) {
        this->outcome.stalledWithoutPath += 1;
      }
    }
  }

  void TickStream(Daemon& aDaemon, Stream& aStream) {
    if (aStream.isWaiting) {
      // A stream that was handed over does not return to its own daemon.
      this->AskPeers(aDaemon, aStream);
      return;
    }
    if (!this->IsSilent(*aStream.holder, aStream.upstream)) {
      aStream.isResumed = true;  // Its run goes on.
      return;
    }
    const LiveUpstream& upstream = *aDaemon.upstreams[aStream.upstream];
    if (aStream.holder != &aDaemon || aStream.runs == kMaxRuns ||
        !upstream.IsSuspect(this->clock.Now())) {
      return;
    }
    if (const auto chosen = this->Usable(aDaemon)) {
      this->BeginRun(aStream, aDaemon, *chosen);
    } else if (this->MayHandOver(aDaemon)) {
      this->outcome.cancelledRuns += 1;
      aStream.isWaiting = true;
      this->AskPeers(aDaemon, aStream);
      this->outcome.lostRuns += aStream.isResumed ? 0 : 1;
    }
  }

  SilenceReplaySettings settings;
  FakeClock clock;
  Random random;
  Metrics metrics;
  std::optional<RouteTable> table;
  Micros time{0};
  std::vector<std::unique_ptr<Daemon>> daemons;
  SilenceReplayOutcome outcome;
};

}  // namespace

SilenceReplayOutcome ReplaySilence(const SilenceReplaySettings& aSettings) {
  return Replay(aSettings).Run();
}

}  // namespace zincstep
