#include "Zincstep/Edge/EdgeDaemon.h"

#include <csignal>

#include "Zincstep/Edge/AdminHandler.h"
#include "Zincstep/Edge/BlockList.h"
#include "Zincstep/Edge/BufferedMemory.h"
#include "Zincstep/Edge/DaemonEntry.h"
#include "Zincstep/Edge/PeerProtocol.h"
#include "Zincstep/Edge/PlanThread.h"
#include "Zincstep/Relay/DomainRecoveryMonitor.h"
#include "Zincstep/Relay/ReachProber.h"

namespace zincstep {

namespace {

/// Interval between checks of time limits while requests run: a third of the
/// shortest limit, at 40 wake-ups per second.
constexpr Micros kBusyTick = 25ms;
/// Interval between checks of time limits while no request runs.
constexpr Micros kIdleTick = 100ms;
/// A tick that is this late is logged: the VM was suspended or the process did
/// not run. That tick also ends everything that has timed out meanwhile.
constexpr Micros kMinLoggedGap = 1s;
/// Interval of all periodic work other than time limits of requests, such as
/// placement and gossip.
constexpr Micros kPeriodicTick = 250ms;
/// Margin of the limit on revoked keys, for the time between the check of the
/// validation age and the start of the request at an upstream.
constexpr Micros kRevocationMargin = 300ms;
/// Share of the operators' retry ratio that is used. The rest covers requests
/// that arrive in one window and are retried in the next.
constexpr double kRetryRatioUsed = 0.8;

/// Time without a placement leader after which daemons that do not follow the
/// store directly campaign, and the interval between their ranks.
constexpr Micros kLeaderlessTimeout = 2s;
constexpr Micros kCampaignInterval = 1s;
/// Bytes of header that a forwarding daemon may add to a request.
constexpr std::size_t kForwardedHeaderBytes = 256;
/// Time that a starting daemon waits for peers before it trusts the
/// configuration of the store, which may have lost a version that the peers
/// know.
constexpr Micros kPeerTimeout = 600ms;
/// Interval between reports of a blocked request that is not in the store yet:
/// the placement leader, which writes the list, may have missed it.
constexpr Micros kUnlistedInterval = 1s;

RelaySettings MakeRelaySettings(const EdgeSettings& aSettings) {
  RelaySettings settings;
  settings.failureDomain = aSettings.failureDomain;
  settings.maxValidationAge = aSettings.keyRevocation - kRevocationMargin;
  settings.failsClosed = aSettings.failsClosed;
  settings.retries.perRequest = aSettings.retryRatio * kRetryRatioUsed;
  settings.retries.capacity = RetryShare(aSettings.retrySlack, {});
  settings.drainNotice = aSettings.drainNotice;
  settings.features = aSettings.features;
  return settings;
}

/// Connects all components of the daemon on one event loop.
///
/// Callers, upstreams and the store share this thread instead of having one
/// each: a VM has a quarter of a core, each wake-up has its cost, and an event
/// that crosses threads takes two wake-ups. Peers, placement plans and the log
/// have threads of their own.
class EdgeDaemon final : private ClusterListener, private CrashListener {
 public:
  EdgeDaemon(const EdgeSettings& aSettings, asio::io_context& aLoop,
             EdgeAdapters aAdapters, StoreEraTracker& aEras)
      : settings(aSettings),
        loop(aLoop),
        eras(aEras),
        adapters(std::move(aAdapters)),
        relaySettings(MakeRelaySettings(aSettings)),
        random(Hash64(aSettings.name,
                      static_cast<std::uint64_t>(
                          this->clock.Now().time_since_epoch().count()))),
        view(*this->adapters.decoder, *this, this->clock),
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
                         this->budgets,
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
        signals(aLoop, SIGTERM, SIGINT, SIGHUP) {}

  Result<void> Start();
  /// Stops the peer protocol, after the loop has ended.
  void Stop();

 private:
  static ChainChooserSettings MakeChooserSettings(
      const EdgeSettings& aSettings) {
    ChainChooserSettings settings;
    settings.firstStageBalance = aSettings.features.firstStageBalance;
    settings.domains.expectedLoad = aSettings.features.domainDemand;
    return settings;
  }

  static PlacementControllerSettings MakeControllerSettings(
      const EdgeSettings& aSettings) {
    PlacementControllerSettings settings;
    settings.name = aSettings.name;
    settings.key = aSettings.storePrefix + kPlacementLeaseKey;
    settings.domainDemand = aSettings.features.domainDemand;
    return settings;
  }

  static CallLimitSettings MakeLimitSettings(const EdgeSettings& aSettings) {
    CallLimitSettings settings;
    settings.ownName = aSettings.name;
    settings.ownDomain = aSettings.failureDomain;
    return settings;
  }

  static StoreFollowerSettings MakeFollowerSettings(
      const EdgeSettings& aSettings, const ClusterKeys& aKeys) {
    StoreFollowerSettings settings;
    settings.keys = aKeys;
    settings.keys.domainDaemons =
        aKeys.daemons + DaemonEntry::PrefixOf(aSettings.failureDomain);
    settings.maxSyncStaleness = MaxSyncStaleness(aSettings);
    return settings;
  }

  static ForwardChooserSettings MakeForwardSettings(
      const EdgeSettings& aSettings) {
    ForwardChooserSettings settings;
    settings.failureDomain = aSettings.failureDomain;
    return settings;
  }

  static LoadStatisticsSettings MakeStatisticsSettings(
      const EdgeSettings& aSettings) {
    LoadStatisticsSettings settings;
    settings.failureDomain = aSettings.failureDomain;
    return settings;
  }

  static StopPolicySettings MakeStopSettings(const EdgeSettings& aSettings) {
    StopPolicySettings settings;
    settings.gracePeriod = FromSeconds(aSettings.stopGraceSeconds);
    return settings;
  }

  void OnConfiguration() override;
  void OnUpstream(const UpstreamPtr&) override {
    this->SurveyLoadSoon();
    this->relay.ScheduleStarts();
  }
  void OnDaemonEntries() override;
  void OnCrashes(const std::vector<UpstreamCrash>& aCrashes) override;
  void OnCleared(RequestFingerprint aRequest) override;
  void OnBlocked(RequestFingerprint aRequest) override;
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
  /// Detects by the time since the last tick that this VM was suspended.
  void DetectSuspension();
  void OnFastTick();
  void OnPeriodicTick();
  /// Bytes that this daemon buffers, by purpose.
  BufferedMemory::Bytes BufferedBytes() const;
  bool IsReady() const;
  std::string MetricsText();
  /// Returns the load of this daemon and of the first stages of its failure
  /// domain as JSON, for operators.
  std::string StatusText() const;

  static constexpr const char* kPlacementLeaseKey = "placement-duty";

  const EdgeSettings& settings;
  asio::io_context& loop;
  StoreEraTracker& eras;
  EdgeAdapters adapters;
  SystemClock clock;
  RelaySettings relaySettings;
  Random random;
  Metrics metrics;
  std::map<std::string, RetryBudget> budgets;
  ClusterView view;
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
  /// `PeerMembers::Changes` as of the last update of `limits` and
  /// `retryParticipant`.
  std::uint64_t lastMemberChanges = 0;
  Instant lastTickAt{};
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
  CallerListener admins;
  PlanThread plans;
  PlacementController controller;
  PeerProtocol peers;
  BufferedMemory bufferedMemory;
  asio::steady_timer fastTimer;
  asio::steady_timer periodicTimer;
  asio::signal_set signals;
};

Result<void> EdgeDaemon::Start() {
  auto started = this->callers.Start(this->settings.listen);
  if (started) {
    started = this->admins.Start(this->settings.adminListen);
  }
  if (started && !this->settings.forwardListen.empty()) {
    started = this->forwarded.Start(this->settings.forwardListen);
  }
  if (started) {
    started = this->peers.Start();
  }
  if (!started) {
    return started;
  }
  // The placement leader reads lost upstreams from the store itself.
  this->follower.SetHasFreshSyncSource([this] {
    return this->peers.Members().HasFreshSyncSource() &&
           !this->controller.IsLeader();
  });
  this->follower.SetMayQueryStore([this] {
    return this->peers.Members().MayQueryStore() || this->controller.IsLeader();
  });
  this->follower.SetHasSyncSource(
      [this] { return this->peers.Members().HasSyncSource(); });
  this->follower.SetRank([this] { return this->peers.Members().Rank(); });
  this->follower.SetOnBootstrapDaemons(
      [this](const std::vector<StoreItem>& aDaemons) {
        this->peers.OnBootstrapEntries(aDaemons);
        return this->peers.Members().HasDiscoveredPeers();
      });
  this->controller.SetMayCampaign([this] {
    // If all daemons that follow the store directly lack a path to upstreams,
    // the others may campaign, one rank after the other.
    const auto rank = static_cast<int>(this->peers.Members().Rank());
    return this->follower.IsDirect() ||
           this->controller.LeaderlessTime() >=
               kLeaderlessTimeout + rank * kCampaignInterval;
  });
  this->controller.SetHasPath([this] { return this->HasPathToModels(); });
  this->peers.SetCapacityGossip(this->capacityGossip);
  this->crashDetector.SetUpstreams([this](const std::string& aService) {
    return this->view.Directory().OfService(aService);
  });
  this->controller.SetDemand([this] { return this->peers.Demand(); });
  this->eras.SetOnRestored([this](std::uint64_t aBefore, std::uint64_t aEra) {
    this->OnStoreRestored(aBefore, aEra);
  });
  if (!this->peers.IsAlone()) {
    this->view.AwaitPeers(this->clock.Now() + kPeerTimeout);
  }
  this->follower.Start(!this->peers.IsAlone());
  this->WaitForSignal();
  this->OnFastTick();
  this->OnPeriodicTick();
  LogInfo("started", {{"name", this->settings.name},
                      {"failure_domain", this->settings.failureDomain},
                      {"listen", this->settings.listen},
                      {"store", this->settings.store}});
  return {};
}

void EdgeDaemon::OnDaemonEntries() {
  const std::string leader = this->view.Daemons().ValueOf(kPlacementLeaseKey);
  this->controller.OnLeaderChanged(leader);
  this->peers.OnDaemonEntries(leader);
  this->blockList.OnEntries(this->view.Daemons().Items());
  if (this->peers.Members().Changes() == this->lastMemberChanges) {
    return;
  }
  this->lastMemberChanges = this->peers.Members().Changes();
  std::map<std::string, std::string> domains;
  // Ordered by hash: the first ones by name may all be in one failure domain.
  const std::uint64_t ownHash = Hash64(this->settings.name);
  this->retryParticipant = {this->peers.DaemonCount(), 0};
  for (const auto& [name, member] : this->peers.Members().All()) {
    domains[name] = member.failureDomain;
    this->retryParticipant.rank += Hash64(name) < ownHash ? 1 : 0;
  }
  this->limits.SetDaemons(std::move(domains));
  this->UpdateForwardPeers();
  this->chains.SetKnowsOwnCallers(!this->peers.ReportsToAll());
}

bool EdgeDaemon::HasPathToModels() const {
  const auto table = this->view.Table();
  if (!table) {
    return true;
  }
  const auto& services = table->Configuration().services;
  return std::none_of(
      services.begin(), services.end(), [this](const RoutedService& aService) {
        return aService.model && this->reach.HasLostPath(aService.name);
      });
}

void EdgeDaemon::UpdateForwardPeers() {
  const std::string& own = this->settings.forwardListen;
  std::vector<ForwardPeer> all;
  if (!own.empty()) {
    const std::string port = own.substr(own.rfind(':'));
    for (const auto& [name, member] : this->peers.Members().All()) {
      const std::string& address = member.address;
      const std::string forward = address.substr(0, address.rfind(':')) + port;
      if (ParseEndpoint(forward)) {
        all.push_back({name, forward, member.failureDomain});
      }
    }
  }
  this->forwards.SetPeers(all);
}

void EdgeDaemon::OnStoreRestored(std::uint64_t aBefore, std::uint64_t aEra) {
  const auto validationAge = this->view.ValidationAge();
  LogWarning("store_restored",
             {{"era_before", aBefore},
              {"era", aEra},
              {"config_version", this->view.ConfigVersion()},
              {"proof_age_ms", validationAge ? *validationAge / 1ms : -1},
              {"upstreams", this->view.Directory().All().size()},
              {"daemons", this->peers.DaemonCount()},
              {"had_duty", this->controller.IsLeader()}});
  this->metrics.Count("zincstep_store_restores_total");
  this->view.OnRestored(aEra);
  this->controller.OnRestored();
  this->blockList.OnRestored();
  this->peers.OnRestored();
  this->follower.OnRestored();
}

void EdgeDaemon::OnCrashes(const std::vector<UpstreamCrash>& aCrashes) {
  this->metrics.Count("zincstep_upstream_crashes_total");
  this->peers.Broadcast(CrashGossip{aCrashes, {}});
}

void EdgeDaemon::OnCleared(RequestFingerprint aRequest) {
  this->peers.Broadcast(CrashGossip{{}, {aRequest}});
}

void EdgeDaemon::OnBlocked(RequestFingerprint aRequest) {
  this->relay.OnBlocked(aRequest);
}

void EdgeDaemon::OnPeerCrashes(const CrashGossip& aGossip,
                               const std::string& aFrom) {
  CrashGossip unrelated;
  for (const UpstreamCrash& crash : aGossip.crashes) {
    const CrashVerdict verdict =
        this->crashDetector.OnCrash(crash, Provenance::Reported);
    if (verdict == CrashVerdict::Ignored) {
      unrelated.cleared.push_back(crash.request);
    }
  }
  if (!unrelated.cleared.empty()) {
    // Only the reporter passes this on: otherwise hundreds of daemons that have
    // completed the request would broadcast it.
    this->peers.Send(aFrom, std::move(unrelated));
  }
  for (const RequestFingerprint request : aGossip.cleared) {
    if (this->crashDetector.OnClearedByPeer(request)) {
      this->peers.Broadcast(CrashGossip{{}, {request}});
    }
  }
}

void EdgeDaemon::OnPeerLimits(const LimitGossip& aGossip,
                              const std::string& aReporter,
                              const std::string& aFrom) {
  LimitGossip newer;
  for (const LimitNotice& notice : aGossip.limits) {
    const UpstreamPtr upstream =
        this->view.Directory().FindNumber(notice.upstream);
    if (!upstream) {
      continue;
    }
    if (const auto known =
            this->limits.OnPeerReport(upstream, notice, aReporter)) {
      newer.limits.push_back(*known);
    }
  }
  if (!newer.limits.empty()) {
    this->peers.Send(aFrom, std::move(newer));
  }
}

void EdgeDaemon::UpdateBlockList() {
  const Instant now = this->clock.Now();
  this->crashes.Tick(now);
  if (this->controller.IsLeader()) {
    this->blockList.Write();
    return;
  }
  std::vector<UpstreamCrash> unlisted = this->crashes.UnlistedCrashes(now);
  if (unlisted.empty()) {
    this->nextUnlistedReport = now + kUnlistedInterval;
  } else if (now >= this->nextUnlistedReport) {
    this->nextUnlistedReport = now + kUnlistedInterval;
    this->peers.SendToPlacementLeader(CrashGossip{std::move(unlisted), {}});
  }
}

void EdgeDaemon::OnConfiguration() {
  const CallerLimits& limits = this->view.Table()->Configuration().limits;
  this->callers.SetLimits(limits);
  CallerLimits forwardedLimits = limits;
  forwardedLimits.maxHeaderBytes += kForwardedHeaderBytes;
  this->forwarded.SetLimits(forwardedLimits);
  this->relay.ScheduleTick();
  this->peers.OnConfiguration();
}

void EdgeDaemon::OnSuspicion(Provenance aProvenance) {
  // The placement leader has to know at once: each tenth of a second counts.
  // Reported suspicions were sent by their observer already; if a hundred
  // daemons forwarded them to each other, that would be ten thousand messages.
  if (aProvenance == Provenance::Observed) {
    this->peers.GossipSoon();
  }
  this->controller.Tick();
  this->relay.ScheduleTick();
}

void EdgeDaemon::SurveyLoadSoon() {
  if (this->isSurveyDue || this->survey.IsOver(this->clock.Now())) {
    return;
  }
  this->isSurveyDue = true;
  asio::post(this->loop, [this] {
    this->isSurveyDue = false;
    this->SurveyLoad();
  });
}

void EdgeDaemon::SurveyLoad() {
  const Instant now = this->clock.Now();
  if (this->settings.features.loadSurvey == FeatureMode::Off ||
      this->survey.IsOver(now)) {
    return;
  }
  const auto& domains = this->view.Directory().ModelsByDomain();
  const auto own = domains.find(this->settings.failureDomain);
  if (own == domains.end()) {
    return;
  }
  const PeerMembers& members = this->peers.Members();
  const std::size_t rank = members.Rank();
  const SurveyRank surveyRank{rank, rank == 0 && members.HasDiscoveredPeers()};
  const std::vector<UpstreamPtr> asked =
      this->survey.Next(own->second, surveyRank, now);
  if (asked.empty()) {
    return;
  }
  LogInfo("load_survey", {{"reports", asked.size()},
                          {"reports_in_all", this->survey.Requested()},
                          {"rank", rank}});
  for (const UpstreamPtr& upstream : asked) {
    this->metrics.Count("zincstep_load_survey_reports_total");
    this->control.Report(
        upstream->Entry(), this->relaySettings.reportTimeout,
        [this, upstream](const Result<UpstreamReport>& aReport) {
          this->OnSurveyReport(upstream, aReport);
        });
  }
}

void EdgeDaemon::OnSurveyReport(const UpstreamPtr& aUpstream,
                                const Result<UpstreamReport>& aReport) {
  const Instant now = this->clock.Now();
  const UpstreamEntry& entry = aUpstream->Entry();
  if (aReport) {
    this->survey.OnReport(*aUpstream, aReport->running, aReport->queued, now);
    aUpstream->OnResponse(now);
    LogInfo("load_survey_report", {{"upstream", entry.id},
                                   {"running", aReport->running},
                                   {"queued", aReport->queued},
                                   {"slots", entry.slots}});
  } else {
    this->survey.OnNoReport(*aUpstream);
    LogInfo("load_survey_report",
            {{"upstream", entry.id}, {"error", aReport.error().message}});
  }
  if (!this->survey.IsPending()) {
    this->peers.GossipSoon();
  }
}

void EdgeDaemon::WaitForSignal() {
  this->signals.async_wait([this](const asio::error_code& aError, int aSignal) {
    if (aError) {
      return;
    }
    if (aSignal == SIGHUP) {
      LogInfo("settings_unchanged",
              {{"reason", "settings come with the start of the process"}});
    } else if (!this->stop.IsStopping()) {
      this->stop.Begin(this->clock.Now());
      this->controller.Stop();
      this->peers.BeginStop();
      this->callers.DisableKeepAlive();
      LogInfo("stopping", {{"active", this->relay.Active()}});
    }
    this->WaitForSignal();
  });
}

void EdgeDaemon::DetectSuspension() {
  const Instant now = this->clock.Now();
  const Micros gap = now - this->lastTickAt;
  if (this->lastTickAt != Instant{} && gap >= kMinLoggedGap) {
    const auto age = this->view.ValidationAge();
    LogWarning("time_passed_unseen", {{"gap_ms", gap / 1ms},
                                      {"active", this->relay.Active()},
                                      {"proof_age_ms", age ? *age / 1ms : -1}});
    this->connections.Clear();
  }
  this->lastTickAt = now;
}

void EdgeDaemon::OnFastTick() {
  this->DetectSuspension();
  this->relay.Tick();
  this->SurveyLoad();
  if (this->stop.CanExit(this->relay.Active(), this->clock.Now())) {
    this->loop.stop();
    return;
  }
  this->fastTimer.expires_after(this->relay.Active() > 0 ? kBusyTick
                                                         : kIdleTick);
  this->fastTimer.async_wait([this](const asio::error_code& aError) {
    if (!aError) {
      this->OnFastTick();
    }
  });
}

void EdgeDaemon::OnPeriodicTick() {
  if (this->stop.ShouldCloseIdle(this->clock.Now())) {
    this->callers.CloseIdle();
  }
  this->callers.Tick();
  this->forwarded.Tick();
  this->admins.Tick();
  this->view.Tick();
  this->store.Tick();
  this->limits.Tick();
  this->domainRecovery.Tick(this->view.Directory());
  if (const auto table = this->view.Table()) {
    this->reach.Tick(*table, this->view.Directory());
    this->reachProber.Tick(*table, this->view.Directory());
  }
  this->controller.Tick();
  this->peers.Tick();
  this->UpdateBlockList();
  this->bufferedMemory.Tick(this->BufferedBytes());
  this->relaySettings.retries.capacity =
      RetryShare(this->settings.retrySlack, this->retryParticipant);
  for (auto& [service, budget] : this->budgets) {
    budget.SetCapacity(this->relaySettings.retries.capacity);
  }
  this->periodicTimer.expires_after(kPeriodicTick);
  this->periodicTimer.async_wait([this](const asio::error_code& aError) {
    if (!aError) {
      this->OnPeriodicTick();
    }
  });
}

BufferedMemory::Bytes EdgeDaemon::BufferedBytes() const {
  BufferedMemory::Bytes bytes{};
  const auto of = [&bytes](BufferKind aKind) -> std::size_t& {
    return bytes[static_cast<std::size_t>(aKind)];
  };
  of(BufferKind::ToPeers) = this->peers.BytesToPeers();
  of(BufferKind::FromPeers) = this->peers.BytesFromPeers();
  of(BufferKind::PackedLists) = this->peers.BytesPacked();
  of(BufferKind::ToCallers) =
      this->callers.PendingBytes() + this->forwarded.PendingBytes();
  return bytes;
}

bool EdgeDaemon::IsReady() const {
  const auto age = this->view.ValidationAge();
  return !this->stop.IsStopping() && this->view.Table() && age &&
         *age <= this->relaySettings.maxValidationAge;
}

std::string EdgeDaemon::MetricsText() {
  const auto age = this->view.ValidationAge();
  this->metrics.Set("zincstep_active_requests",
                    static_cast<double>(this->relay.Active()));
  this->metrics.Set("zincstep_config_proof_age_seconds",
                    age ? ToSeconds(*age) : -1);
  const auto listsAge = this->view.ListsAge();
  this->metrics.Set("zincstep_lists_proof_age_seconds",
                    listsAge ? ToSeconds(*listsAge) : -1);
  this->metrics.Set(
      "zincstep_config_revision",
      static_cast<double>(this->view.ConfigStoreRevision().number));
  this->metrics.Set("zincstep_config_version",
                    static_cast<double>(this->view.ConfigVersion()));
  this->metrics.Set("zincstep_store_era",
                    static_cast<double>(this->eras.CurrentEra().value_or(0)));
  this->metrics.Set("zincstep_upstreams",
                    static_cast<double>(this->view.Directory().All().size()));
  this->metrics.Set("zincstep_wrong_entries",
                    static_cast<double>(this->view.InvalidEntries()));
  this->metrics.Set(
      "zincstep_blocked_requests",
      static_cast<double>(this->crashes.Blocked(this->clock.Now()).size()));
  this->bufferedMemory.Report(this->BufferedBytes());
  this->metrics.Set("zincstep_placement_duty",
                    this->controller.IsLeader() ? 1 : 0);
  for (const auto& [service, targets] : this->controller.Targets()) {
    for (const auto& [domain, target] : targets) {
      this->metrics.Set("zincstep_placement_demand_tokens", target.target,
                        {{"service", service}, {"domain", domain}});
    }
  }
  // Written anew each time, so that organisations that are no longer among the
  // largest have no series.
  Metrics load;
  this->statistics.Report(load, this->clock.Now());
  return this->metrics.Text() + load.Text();
}

std::string EdgeDaemon::StatusText() const {
  const Instant now = this->clock.Now();
  nlohmann::json status = this->statistics.Status(now);
  status["name"] = this->settings.name;
  status["failure_domain"] = this->settings.failureDomain;
  status["ready"] = this->IsReady();
  status["config_version"] = this->view.ConfigVersion();
  status["active_requests"] = this->relay.Active();
  nlohmann::json& stages = status["first_stages"] = nlohmann::json::array();
  const auto& domains = this->view.Directory().ModelsByDomain();
  const auto own = domains.find(this->settings.failureDomain);
  if (own != domains.end()) {
    for (const UpstreamPtr& upstream : own->second) {
      const UpstreamEntry& entry = upstream->Entry();
      if (entry.layers.first != 0 || entry.layers.Size() == 0) {
        continue;
      }
      const auto load = upstream->firstStage.Announced(now);
      stages.push_back({{"upstream", entry.id},
                        {"slots", entry.slots},
                        {"counted", upstream->firstStage.Counted()},
                        {"running", load ? load->running : -1},
                        {"queued", load ? load->queued : -1},
                        {"load_age_ms", load ? (now - load->at) / 1ms : -1},
                        {"may_get_work", upstream->IsUsable(now)}});
    }
  }
  return status.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) +
         "\n";
}

void EdgeDaemon::Stop() {
  this->peers.Stop();
  LogInfo("stopped", {{"active", this->relay.Active()}});
}

}  // namespace

int RunEdgeDaemon(const EdgeSettings& aSettings,
                  const MakeEdgeAdapters& aMakeAdapters) {
  std::signal(SIGPIPE, SIG_IGN);
  asio::io_context loop(1);
  StoreEraTracker eras;
  auto adapters = aMakeAdapters(loop, aSettings, eras);
  if (!adapters) {
    LogError("start_failed", {{"reason", adapters.error().message}});
    return 2;
  }
  EdgeDaemon daemon(aSettings, loop, std::move(*adapters), eras);
  const Result<void> started = daemon.Start();
  if (!started) {
    LogError("start_failed", {{"reason", started.error().message}});
    return 1;
  }
  loop.run();
  daemon.Stop();
  return 0;
}

}  // namespace zincstep
