#include "Zincstep/Edge/EdgeDaemon.h"

#include <csignal>

#include "Zincstep/Edge/AdminHandler.h"
#include "Zincstep/Edge/BlockList.h"
#include "Zincstep/Edge/BufferedMemory.h"
#include "Zincstep/Edge/DaemonEntry.h"
#include "Zincstep/Edge/PeerProtocol.h"
#include "Zincstep/Edge/PlanThread.h"
#include "Zincstep/Relay/DomainRecoveryMonitor.h"

namespace zincstep {

namespace {

/// Between looks at limits of time while requests run: a third of the
/// shortest of these limits, at 40 wake-ups a second.
constexpr Micros kBusyTick = 25ms;
/// The same while none runs.
constexpr Micros kIdleTick = 100ms;
/// A look that comes so much too late is told of: this VM was suspended, or has
/// not run. Whatever has passed its time meanwhile ends in that look.
constexpr Micros kToldGap = 1s;
/// Between acts of the placement duty.
constexpr Micros kDutyTick = 250ms;
/// Margin of the bound on withdrawn keys for what lies between the check of
/// a proof and the start of the request at an upstream.
constexpr Micros kRevocationMargin = 300ms;
/// Part of the operators' retry ratio that is used: the rest covers
/// requests that arrive in one window and are repeated in the next.
constexpr double kRetryRatioUsed = 0.8;

/// A daemon that starts hears its peers for so long before what the store says
/// of the configuration counts: the store may have lost what they know.
constexpr Micros kPeerPatience = 600ms;
/// Between tellings of a request that must not run and is not in the store yet:
/// whoever writes it there may not have heard of it.
constexpr Micros kUnlistedPause = 1s;

RelaySettings MakeRelaySettings(const EdgeSettings& aSettings) {
  RelaySettings settings;
  settings.failureDomain = aSettings.failureDomain;
  settings.maxValidationAge = aSettings.keyRevocation - kRevocationMargin;
  settings.failsClosed = aSettings.failsClosed;
  settings.retries.perRequest = aSettings.retryRatio * kRetryRatioUsed;
  settings.retries.most = RetryShare(aSettings.retrySlack, {});
  return settings;
}

/// All parts of the daemon, on one loop.
///
/// The brief asks for a thread a duty. Callers, upstreams and the store
/// share one here: a VM has a quarter of a core, each wake-up is paid for,
/// and an event that crosses threads costs two of them. Peers, plans of
/// placement and the log have threads of their own.
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
        chains(ChainChooserSettings{}),
        services(ServiceChooserSettings{}),
        stop(MakeStopSettings(aSettings)),
        limits(MakeLimitSettings(aSettings), this->clock, this->metrics,
               [this](const std::vector<LimitNotice>& aNotices) {
                 this->peers.Broadcast(LimitGossip{aNotices});
               }),
        control(*this->adapters.control, this->view.Directory(), this->limits,
                this->clock),
        probe(
            UpstreamProberSettings{}, this->control, this->clock,
            [this](Provenance aProvenance) { this->OnSuspicion(aProvenance); }),
        crashDetector(this->crashes, this->control, this->clock, *this),
        blockList(aSettings.storePrefix, this->store, this->crashes,
                  this->clock),
        lostDomains(this->probe, this->clock, this->random),
        kept(ConnectionPoolSettings{}, this->clock),
        relay(RelayContext{
            aLoop, this->relaySettings, *this->adapters.dialect, this->view,
            this->control, this->clock, this->random, this->metrics,
            this->probe, this->crashes, this->crashDetector, this->kept,
            this->limits, this->chains, this->services, this->demand,
            this->budgets, this->stop,
            [this] { this->OnSuspicion(Provenance::Observed); }}),
        admin([this] { return this->IsReady(); },
              [this] { return this->MetricsText(); }),
        callers(aLoop, this->relay, this->clock),
        admins(aLoop, this->admin, this->clock),
        plans(aLoop, PlacementSettings{}),
        controller(MakeKeeperSettings(aSettings), this->store, this->control,
                   this->view, this->plans, this->clock),
        peers(
            aLoop, aSettings, this->store, this->view, this->clock,
            this->random, this->metrics, aEras,
            [this](const UpstreamPtr& aUpstream) {
              this->probe.Verify(aUpstream);
            },
            [this](const CrashGossip& aGossip, const std::string& aFrom) {
              this->OnTold(aGossip, aFrom);
            },
            [this](const LimitGossip& aGossip, const std::string& aReporter,
                   const std::string& aFrom) {
              this->OnPeerLimits(aGossip, aReporter, aFrom);
            },
            [this] { return this->demand.Tokens(this->clock.Now()); }),
        held(this->metrics, this->clock),
        fastTimer(aLoop),
        dutyTimer(aLoop),
        signals(aLoop, SIGTERM, SIGINT, SIGHUP) {}

  Result<void> Start();
  /// Ends what still runs.
  void Stop();

 private:
  static PlacementControllerSettings MakeKeeperSettings(
      const EdgeSettings& aSettings) {
    PlacementControllerSettings settings;
    settings.name = aSettings.name;
    settings.key = aSettings.storePrefix + kDutyKey;
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
    settings.keys.near =
        aKeys.own + DaemonEntry::PrefixOf(aSettings.failureDomain);
    settings.maxSyncStaleness = MaxSyncStaleness(aSettings);
    return settings;
  }

  static StopPolicySettings MakeStopSettings(const EdgeSettings& aSettings) {
    StopPolicySettings settings;
    settings.grace = FromSeconds(aSettings.stopGraceSeconds);
    return settings;
  }

  void OnConfiguration() override;
  void OnUpstream(const UpstreamPtr&) override {}
  void OnDaemonEntries() override;
  void OnCrashes(const std::vector<UpstreamCrash>& aCrashes) override;
  void OnCleared(RequestFingerprint aRequest) override;
  void OnBlocked(RequestFingerprint aRequest) override;
  void OnUpstreamSuspected() override {
    this->OnSuspicion(Provenance::Observed);
  }
  /// A peer that listens at `aFrom` tells of requests that end upstreams.
  void OnTold(const CrashGossip& aGossip, const std::string& aFrom);
  /// The same of limits that upstreams name.
  void OnPeerLimits(const LimitGossip& aGossip, const std::string& aReporter,
                    const std::string& aFrom);
  /// The store has come back from a copy: what is known stays in use until it
  /// is told anew, and what this daemon keeps there is written again.
  void OnStoreRestored(std::uint64_t aBefore, std::uint64_t aEra);
  /// What must not run is written to the store, or told to who writes it.
  void KeepBlocked();
  void OnSuspicion(Provenance aProvenance);
  void WaitForSignal();
  /// Finds out that this VM was suspended, by the time since the last look.
  void NoteGap();
  void OnFastTick();
  void OnDutyTick();
  /// Bytes that this daemon holds for others.
  BufferedMemory::Bytes HeldBytes() const;
  bool IsReady() const;
  std::string MetricsText();

  static constexpr const char* kDutyKey = "placement-duty";

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
  StopPolicy stop;
  CallLimits limits;
  CountedControl control;
  UpstreamProber probe;
  CrashTracker crashes{CrashTrackerSettings{}};
  CrashDetector crashDetector;
  BlockList blockList;
  RetrySharer retrySharer;
  /// `PeerMembers::Changes` when other parts last heard of the members.
  std::uint64_t knownMembers = 0;
  Instant lastLook{};
  /// When what is not in the store yet is told again.
  Instant nextUnlisted{};
  DomainRecoveryMonitor lostDomains;
  ConnectionPool kept;
  Relay relay;
  AdminHandler admin;
  CallerListener callers;
  CallerListener admins;
  PlanThread plans;
  PlacementController controller;
  PeerProtocol peers;
  BufferedMemory held;
  asio::steady_timer fastTimer;
  asio::steady_timer dutyTimer;
  asio::signal_set signals;
};

Result<void> EdgeDaemon::Start() {
  auto started = this->callers.Start(this->settings.listen);
  if (started) {
    started = this->admins.Start(this->settings.adminListen);
  }
  if (started) {
    started = this->peers.Start();
  }
  if (!started) {
    return started;
  }
  // Whoever places layers hears of lost upstreams from the store itself.
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
  this->controller.SetMayCampaign([this] { return this->follower.IsDirect(); });
  this->controller.SetDemand([this] { return this->peers.Demand(); });
  this->eras.SetOnRestored([this](std::uint64_t aBefore, std::uint64_t aEra) {
    this->OnStoreRestored(aBefore, aEra);
  });
  if (!this->peers.IsAlone()) {
    this->view.AwaitPeers(this->clock.Now() + kPeerPatience);
  }
  this->follower.Start(!this->peers.IsAlone());
  this->WaitForSignal();
  this->OnFastTick();
  this->OnDutyTick();
  LogInfo("started", {{"name", this->settings.name},
                      {"failure_domain", this->settings.failureDomain},
                      {"listen", this->settings.listen},
                      {"store", this->settings.store}});
  return {};
}

void EdgeDaemon::OnDaemonEntries() {
  const std::string holder = this->view.Daemons().ValueOf(kDutyKey);
  this->controller.OnLeaderChanged(holder);
  this->peers.OnDaemonEntries(holder);
  this->blockList.OnEntries(this->view.Daemons().Items());
  if (this->peers.Members().Changes() == this->knownMembers) {
    return;
  }
  this->knownMembers = this->peers.Members().Changes();
  std::map<std::string, std::string> domains;
  // By hash: the first ones by name may all stand in one failure domain.
  const std::uint64_t ownPlace = Hash64(this->settings.name);
  this->retrySharer = {this->peers.Daemons(), 0};
  for (const auto& [name, member] : this->peers.Members().All()) {
    domains[name] = member.failureDomain;
    this->retrySharer.place += Hash64(name) < ownPlace ? 1 : 0;
  }
  this->limits.SetDaemons(std::move(domains));
}

void EdgeDaemon::OnStoreRestored(std::uint64_t aBefore, std::uint64_t aEra) {
  const auto validationAge = this->view.ValidationAge();
  LogWarning("store_restored",
             {{"era_before", aBefore},
              {"era", aEra},
              {"config_version", this->view.ConfigVersion()},
              {"proof_age_ms", validationAge ? *validationAge / 1ms : -1},
              {"upstreams", this->view.Directory().All().size()},
              {"daemons", this->peers.Daemons()},
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

void EdgeDaemon::OnTold(const CrashGossip& aGossip, const std::string& aFrom) {
  CrashGossip innocent;
  for (const UpstreamCrash& crash : aGossip.crashes) {
    const CrashVerdict verdict =
        this->crashDetector.Take(crash, Provenance::Told);
    if (verdict == CrashVerdict::Ignored) {
      innocent.cleared.push_back(crash.request);
    }
  }
  if (!innocent.cleared.empty()) {
    // Who blames it tells the others: hundreds that answered it do not.
    this->peers.Send(aFrom, std::move(innocent));
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
    if (const auto known = this->limits.OnTold(upstream, notice, aReporter)) {
      newer.limits.push_back(*known);
    }
  }
  if (!newer.limits.empty()) {
    this->peers.Send(aFrom, std::move(newer));
  }
}

void EdgeDaemon::KeepBlocked() {
  const Instant now = this->clock.Now();
  this->crashes.Tick(now);
  if (this->controller.IsLeader()) {
    this->blockList.Write();
    return;
  }
  std::vector<UpstreamCrash> unlisted = this->crashes.UnlistedCrashes(now);
  if (unlisted.empty()) {
    this->nextUnlisted = now + kUnlistedPause;
  } else if (now >= this->nextUnlisted) {
    this->nextUnlisted = now + kUnlistedPause;
    this->peers.SendToPlacementLeader(CrashGossip{std::move(unlisted), {}});
  }
}

void EdgeDaemon::OnConfiguration() {
  this->callers.SetLimits(this->view.Table()->Configuration().limits);
  this->relay.TickSoon();
  this->peers.OnConfiguration();
}

void EdgeDaemon::OnSuspicion(Provenance aProvenance) {
  // Whoever has the duty is to know at once: each tenth of a second counts.
  // What another found it has told itself; a hundred daemons that tell each
  // other so are ten thousand messages.
  if (aProvenance == Provenance::Observed) {
    this->peers.GossipSoon();
  }
  this->controller.Tick();
  this->relay.TickSoon();
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

void EdgeDaemon::NoteGap() {
  const Instant now = this->clock.Now();
  const Micros gap = now - this->lastLook;
  if (this->lastLook != Instant{} && gap >= kToldGap) {
    const auto age = this->view.ValidationAge();
    LogWarning("time_passed_unseen", {{"gap_ms", gap / 1ms},
                                      {"active", this->relay.Active()},
                                      {"proof_age_ms", age ? *age / 1ms : -1}});
    this->kept.Clear();
  }
  this->lastLook = now;
}

void EdgeDaemon::OnFastTick() {
  this->NoteGap();
  this->relay.Tick();
  if (this->stop.MayEnd(this->relay.Active(), this->clock.Now())) {
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

void EdgeDaemon::OnDutyTick() {
  if (this->stop.ClosesIdle(this->clock.Now())) {
    this->callers.CloseIdle();
  }
  this->callers.Tick();
  this->admins.Tick();
  this->view.Tick();
  this->store.Tick();
  this->limits.Tick();
  this->lostDomains.Tick(this->view.Directory());
  this->controller.Tick();
  this->peers.Tick();
  this->KeepBlocked();
  this->held.Tick(this->HeldBytes());
  this->relaySettings.retries.most =
      RetryShare(this->settings.retrySlack, this->retrySharer);
  for (auto& [service, budget] : this->budgets) {
    budget.SetMaxSaved(this->relaySettings.retries.most);
  }
  this->dutyTimer.expires_after(kDutyTick);
  this->dutyTimer.async_wait([this](const asio::error_code& aError) {
    if (!aError) {
      this->OnDutyTick();
    }
  });
}

BufferedMemory::Bytes EdgeDaemon::HeldBytes() const {
  BufferedMemory::Bytes bytes{};
  const auto of = [&bytes](BufferKind aKind) -> std::size_t& {
    return bytes[static_cast<std::size_t>(aKind)];
  };
  of(BufferKind::ToPeers) = this->peers.BytesToPeers();
  of(BufferKind::FromPeers) = this->peers.BytesFromPeers();
  of(BufferKind::PackedLists) = this->peers.BytesPacked();
  of(BufferKind::ToCallers) = this->callers.PendingBytes();
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
                    static_cast<double>(this->eras.Present().value_or(0)));
  this->metrics.Set("zincstep_upstreams",
                    static_cast<double>(this->view.Directory().All().size()));
  this->metrics.Set("zincstep_wrong_entries",
                    static_cast<double>(this->view.WrongEntries()));
  this->metrics.Set(
      "zincstep_blocked_requests",
      static_cast<double>(this->crashes.Blocked(this->clock.Now()).size()));
  this->held.Report(this->HeldBytes());
  this->metrics.Set("zincstep_placement_duty",
                    this->controller.IsLeader() ? 1 : 0);
  return this->metrics.Text();
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
