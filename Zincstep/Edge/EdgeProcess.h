#pragma once

#include "Zincstep/Edge/AdminHandler.h"
#include "Zincstep/Edge/BlockList.h"
#include "Zincstep/Edge/BufferedMemory.h"
#include "Zincstep/Edge/ConfigurationThread.h"
#include "Zincstep/Edge/DaemonEntry.h"
#include "Zincstep/Edge/EdgeAdapters.h"
#include "Zincstep/Edge/EdgeComponents.h"
#include "Zincstep/Edge/PeerProtocol.h"
#include "Zincstep/Edge/PlanThread.h"
#include "Zincstep/Net/CallerListener.h"
#include "Zincstep/Process/Process.h"
#include "Zincstep/Relay/DomainRecoveryMonitor.h"
#include "Zincstep/Relay/ReachProber.h"

namespace zincstep {

/// Connects all components of the daemon on one event loop.
///
/// Callers, upstreams and the store share this thread instead of having one
/// each: a VM has a quarter of a core, each wake-up has its cost, and an event
/// that crosses threads takes two wake-ups. Peers, placement plans and the log
/// have threads of their own.
class EdgeProcess final : private ClusterListener, private CrashListener {
 public:
  EdgeProcess(const EdgeSettings& aSettings, asio::io_context& aLoop,
              EdgeAdapters aAdapters, StoreEraTracker& aEras)
      : settings(aSettings),
        loop(aLoop),
        eras(aEras),
        adapters(std::move(aAdapters)),
        relaySettings(MakeRelaySettings(aSettings, this->clock.Now())),
        random(Hash64(aSettings.name,
                      static_cast<std::uint64_t>(
                          this->clock.Now().time_since_epoch().count()))),
        view(*this->adapters.decoder, *this, this->clock),
        configurations(aLoop, *this->adapters.decoder),
        store(*this->adapters.store, this->metrics, this->clock),
        follower(aLoop, this->store,
                 MakeFollowerSettings(aSettings, this->adapters.keys),
                 this->view, this->clock),
        chains(MakeChooserSettings(aSettings)),
        services(ServiceChooserSettings{}),
        statistics(MakeStatisticsSettings(aSettings)),
        stop(MakeStopSettings(aSettings)),
        limits(MakeLimitSettings(aSettings), this->clock, this->metrics,
               [this](const std::vector<LimitNotice>& aNotices) {
                 this->peers.Broadcast(LimitGossip{aNotices});
               }),
        control(*this->adapters.control, this->view.Directory(), this->limits,
                this->clock),
        prober(
            UpstreamProberSettings{}, this->control, this->clock,
            [this](Provenance aProvenance) { this->OnSuspicion(aProvenance); }),
        crashDetector(this->crashes, this->control, this->clock, *this),
        blockList(aSettings.storePrefix, this->store, this->crashes,
                  this->clock),
        survey(LoadSurveySettings{}, this->clock.Now()),
        domainRecovery(this->prober, this->clock, this->random),
        reach(this->clock, this->metrics),
        reachProber(this->reach, this->control, this->clock, this->random),
        forwards(MakeForwardSettings(aSettings), this->clock, this->random),
        connections(ConnectionPoolSettings{}, this->clock),
        relay(
            RelayContext{aLoop,
                         this->relaySettings,
                         *this->adapters.dialect,
                         this->view,
                         this->control,
                         this->clock,
                         this->random,
                         this->metrics,
                         this->prober,
                         this->crashes,
                         this->crashDetector,
                         this->connections,
                         this->limits,
                         this->chains,
                         this->services,
                         this->demand,
                         this->statistics,
                         this->retryWindows,
                         this->stop,
                         this->reach,
                         this->forwards,
                         [this] { this->OnSuspicion(Provenance::Observed); }}),
        admin([this] { return this->IsReady(); },
              [this] { return this->MetricsText(); },
              [this] { return this->StatusText(); }),
        callers(aLoop, this->relay, this->clock),
        forwarded(aLoop, this->relay.ForwardedRequests(), this->clock),
        admins(aLoop, this->admin, this->clock),
        plans(aLoop, PlacementSettings{}),
        controller(MakeControllerSettings(aSettings), this->store,
                   this->control, this->view, this->plans, this->clock),
        peers(
            aLoop, aSettings, this->store, this->view, this->clock,
            this->random, this->metrics, aEras,
            [this](const UpstreamPtr& aUpstream) {
              aUpstream->loss.OnPeerSuspicion(this->clock.Now());
              this->prober.Verify(aUpstream);
              if (this->settings.features.repairEstimate != FeatureMode::Off) {
                // Streams that are silent already can leave it now.
                this->relay.ScheduleTick();
              }
            },
            [this](const CrashGossip& aGossip, const std::string& aFrom) {
              this->OnPeerCrashes(aGossip, aFrom);
            },
            [this](const LimitGossip& aGossip, const std::string& aReporter,
                   const std::string& aFrom) {
              this->OnPeerLimits(aGossip, aReporter, aFrom);
            },
            [this] { return this->demand.Tokens(this->clock.Now()); }),
        bufferedMemory(this->metrics, this->clock),
        fastTimer(aLoop),
        periodicTimer(aLoop),
        signals(aLoop) {
    for (const int signal : kHandledSignals) {
      this->signals.add(signal);
    }
    this->signalTime.emplace();
    this->relay.SetOnArrival([this] { this->BeginStopIfSignalled(); });
    this->view.SetConfigurationBuilder(this->configurations);
    this->WaitForSignal();
  }

  /// Listens on the addresses on which it does not listen yet; fails as
  /// `ListenOn`.
  Result<void> Listen();
  /// Starts to follow the store and to serve, once it listens on all addresses.
  void Start();
  /// Whether a signal has asked this process to end.
  bool IsStopping() const { return this->stop.IsStopping(); }
  /// Runs the loop as `RunGuarded`, and counts the exceptions of its handlers.
  bool Run(const std::function<void()>& aRun);
  /// Stops the peer protocol, after the loop has ended.
  void Stop();

 private:
  void OnConfiguration() override;
  void OnUpstream(const UpstreamPtr&) override {
    this->SurveyLoadSoon();
    this->relay.ScheduleStarts();
  }
  void OnDaemonEntries() override;
  void OnCrashes(const std::vector<UpstreamCrash>& aCrashes) override;
  void OnReportDue(const std::vector<UpstreamCrash>& aCrashes) override;
  void OnSuspected(const std::vector<UpstreamCrash>& aCrashes) override;
  void OnWithdrawn(const std::vector<UpstreamCrash>& aCrashes) override;
  void OnCleared(Fingerprint aRequest) override;
  void OnBlocked(Fingerprint aRequest) override;
  void OnUpstreamSuspected() override {
    this->OnSuspicion(Provenance::Observed);
  }
  /// Applies a report of requests that crash upstreams from the peer that
  /// listens at `aFrom`.
  void OnPeerCrashes(const CrashGossip& aGossip, const std::string& aFrom);
  /// Applies a report of upstreams' rate limits from the peer that listens at
  /// `aFrom`.
  void OnPeerLimits(const LimitGossip& aGossip, const std::string& aReporter,
                    const std::string& aFrom);
  /// Handles a store that was restored from a backup: known state stays in use
  /// until it is updated, and this daemon's entries are written again.
  void OnStoreRestored(std::uint64_t aBefore, std::uint64_t aEra);
  /// Writes blocked requests to the store, or reports them to the placement
  /// leader that writes them.
  void UpdateBlockList();
  /// Whether this daemon can reach upstreams of each model, to order layers.
  bool HasPathToModels() const;
  /// Applies the known members to the choice of daemons to forward to.
  void UpdateForwardPeers();
  void OnSuspicion(Provenance aProvenance);
  /// Runs the load survey in the next turn of the loop, when the whole list of
  /// upstreams is known.
  void SurveyLoadSoon();
  /// Requests the reports that the load survey asks for now.
  void SurveyLoad();
  void OnSurveyReport(const UpstreamPtr& aUpstream,
                      const Result<UpstreamReport>& aReport);
  void WaitForSignal();
  /// Begins a stop whose signal has arrived although the loop has not handled
  /// it yet: what became ready while the loop was held may run before.
  void BeginStopIfSignalled() {
    if (!this->stop.IsStopping() && this->signalTime->ArrivedAt()) {
      this->OnStopRequested();
    }
  }
  void OnStopRequested();
  /// Accepts no more connections, and ends the loop once the open ones expect
  /// no request.
  void CloseListenersAndExit();
  /// Closes callers' connections without a request, and counts them in the log.
  void CloseIdleConnections();
  /// Detects by the time since the last tick, which was due after `aInterval`,
  /// that this VM was suspended or the loop was held.
  void DetectSuspension(Micros aInterval);
  void OnFastTick();
  void ScheduleFastTick();
  void OnPeriodicTick();
  void SchedulePeriodicTick();
  /// Applies this daemon's share of the retry limit to its budgets.
  void UpdateRetryShare();
  /// Bytes that this daemon buffers, by purpose.
  BufferedMemory::Bytes BufferedBytes() const;
  bool IsReady() const;
  std::string MetricsText();
  /// Returns the load of this daemon and of the first stages of its failure
  /// domain as JSON, for operators.
  std::string StatusText() const;

  const EdgeSettings& settings;
  asio::io_context& loop;
  StoreEraTracker& eras;
  EdgeAdapters adapters;
  SystemClock clock;
  RelaySettings relaySettings;
  Random random;
  Metrics metrics;
  std::map<std::string, RetryWindow> retryWindows;
  ClusterView view;
  ConfigurationThread configurations;
  CountedStore store;
  StoreFollower follower;
  ChainChooser chains;
  ServiceChooser services;
  DemandMeter demand;
  LoadStatistics statistics;
  StopPolicy stop;
  CallLimits limits;
  CountedControl control;
  UpstreamProber prober;
  CrashTracker crashes{CrashTrackerSettings{}};
  CrashDetector crashDetector;
  BlockList blockList;
  RetryParticipant retryParticipant;
  RetryShareHistory retryShares{this->relaySettings.retries.window};
  /// `PeerMembers::Changes` as of the last update of `limits` and
  /// `retryParticipant`.
  std::uint64_t lastMemberChanges = 0;
  Instant lastTickAt{};
  /// Interval after which the next tick is due.
  Micros tickInterval{0};
  /// When unlisted requests are reported again.
  Instant nextUnlistedReport{};
  LoadSurvey survey;
  bool isSurveyDue = false;
  DomainRecoveryMonitor domainRecovery;
  ReachMonitor reach;
  ReachProber reachProber;
  ForwardChooser forwards;
  ConnectionPool connections;
  Relay relay;
  CapacityGossip capacityGossip{relay.Capacity()};
  AdminHandler admin;
  CallerListener callers;
  /// Requests that other daemons forward.
  CallerListener forwarded;
  CallerLimits forwardedLimits{0, 0, Micros{0}, Micros{0}};
  CallerListener admins;
  PlanThread plans;
  PlacementController controller;
  PeerProtocol peers;
  BufferedMemory bufferedMemory;
  /// Number of addresses on which this daemon listens, in the order of
  /// `Listen`.
  std::size_t listening = 0;
  bool hasStarted = false;
  /// Handlers of the loop that threw an exception.
  std::uint64_t handlerFailures = 0;
  asio::steady_timer fastTimer;
  asio::steady_timer periodicTimer;
  asio::signal_set signals;
  /// Set once `signals` has installed its handlers.
  std::optional<StopSignalTime> signalTime;
};

}  // namespace zincstep
