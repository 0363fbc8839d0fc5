#include "Zincstep/Edge/EdgeProcess.h"

#include <array>
#include <csignal>

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
/// Delay of a tick from which on it is logged: the loop was held, and requests
/// that had arrived waited for as long.
constexpr Micros kMinLoggedDelay = 100ms;
/// Interval of all periodic work other than time limits of requests, such as
/// placement and gossip.
constexpr Micros kPeriodicTick = 250ms;
/// Time without a placement leader after which daemons that do not follow the
/// store directly campaign, and the interval between their ranks.
constexpr Micros kLeaderlessTimeout = 2s;
constexpr Micros kCampaignInterval = 1s;
/// Time that a starting daemon waits for peers before it trusts the
/// configuration of the store, which may have lost a version that the peers
/// know.
constexpr Micros kPeerTimeout = 600ms;

void LogIdleTimeouts(const char* aPeers, const ClosedConnections& aClosed) {
  if (aClosed.idle > 0 || aClosed.kept > 0) {
    LogInfo("idle_timeout", {{"peers", aPeers},
                             {"connections", aClosed.idle},
                             {"unused", aClosed.unused},
                             {"unread", aClosed.unread},
                             {"kept", aClosed.kept}});
  }
}

}  // namespace

Result<void> EdgeProcess::Listen() {
  // Callers come last: they connect to a daemon that can serve them soon.
  const std::array<std::function<Result<void>()>, 4> listeners{
      [this] { return this->peers.Start(); },
      [this] { return this->admins.Start(this->settings.adminListen); },
      [this] {
        return this->settings.forwardListen.empty()
                   ? Result<void>()
                   : this->forwarded.Start(this->settings.forwardListen);
      },
      [this] { return this->callers.Start(this->settings.listen); }};
  for (; this->listening < listeners.size(); ++this->listening) {
    Result<void> started = listeners[this->listening]();
    if (!started) {
      return started;
    }
  }
  return {};
}

void EdgeProcess::Start() {
  this->hasStarted = true;
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
  this->peers.SetOnPeerReach(
      [this](const std::string& aDaemon,
             const std::map<std::string, std::size_t>& aUnreachable) {
        this->forwards.OnReach(aDaemon, this->reach.CutOffFrom(aUnreachable));
      });
  this->crashDetector.SetUpstreams([this](const std::string& aService) {
    return this->view.Directory().OfService(aService);
  });
  this->crashDetector.SetFindUpstream([this](std::uint64_t aNumber) {
    return this->view.Directory().FindNumber(aNumber);
  });
  this->crashDetector.SetRunningRequests(
      [this] { return this->relay.Active(); });
  this->controller.SetDemand([this] { return this->peers.Demand(); });
  this->eras.SetOnRestored([this](std::uint64_t aBefore, std::uint64_t aEra) {
    this->OnStoreRestored(aBefore, aEra);
  });
  if (!this->peers.IsAlone()) {
    this->view.AwaitPeers(this->clock.Now() + kPeerTimeout);
  }
  this->blockList.ReadAtStart();
  this->follower.Start(!this->peers.IsAlone());
  this->OnFastTick();
  this->OnPeriodicTick();
  LogInfo("started", {{"name", this->settings.name},
                      {"failure_domain", this->settings.failureDomain},
                      {"listen", this->settings.listen},
                      {"store", this->settings.store}});
}

void EdgeProcess::WaitForSignal() {
  this->signals.async_wait([this](const asio::error_code& aError, int aSignal) {
    if (aError) {
      return;
    }
    this->WaitForSignal();
    if (aSignal == SIGHUP) {
      LogInfo("settings_unchanged",
              {{"reason", "settings come with the start of the process"}});
    } else if (!this->stop.IsStopping()) {
      this->OnStopRequested();
    }
  });
}

void EdgeProcess::OnStopRequested() {
  const Instant now = this->clock.Now();
  // The loop may have been held since the signal; the kill does not wait.
  const Instant signalledAt = this->signalTime->ArrivedAt().value_or(now);
  this->stop.Begin(signalledAt, now);
  LogInfo("stopping", {{"active", this->relay.Active()},
                       {"seen_after_ms", (now - signalledAt) / 1ms}});
  if (!this->hasStarted) {
    this->loop.stop();
    return;
  }
  this->controller.Stop();
  this->peers.BeginStop();
  this->callers.DisableKeepAlive();
}

void EdgeProcess::DetectSuspension(Micros aInterval) {
  const Instant now = this->clock.Now();
  const Micros gap = now - this->lastTickAt;
  if (this->lastTickAt != Instant{} && gap >= kMinLoggedGap) {
    const auto age = this->view.ValidationAge();
    LogWarning("time_passed_unseen", {{"gap_ms", gap / 1ms},
                                      {"active", this->relay.Active()},
                                      {"proof_age_ms", age ? *age / 1ms : -1}});
    this->connections.Clear();
  } else if (this->lastTickAt != Instant{} &&
             gap >= aInterval + kMinLoggedDelay) {
    LogInfo("loop_delayed", {{"delay_ms", (gap - aInterval) / 1ms},
                             {"active", this->relay.Active()}});
  }
  this->lastTickAt = now;
}

void EdgeProcess::OnFastTick() {
  const Micros interval = this->tickInterval;
  this->BeginStopIfSignalled();
  this->ScheduleFastTick();
  this->DetectSuspension(interval);
  // A stop ends the process even if the requests' work fails each time.
  this->Run([this] {
    this->relay.Tick();
    this->SurveyLoad();
  });
  const std::size_t unsent =
      this->callers.PendingBytes() + this->forwarded.PendingBytes();
  if (this->stop.CanExit(this->relay.Active(), unsent, this->clock.Now())) {
    this->CloseListenersAndExit();
  }
}

void EdgeProcess::CloseListenersAndExit() {
  this->callers.StopAccepting();
  this->forwarded.StopAccepting();
  const bool expectsRequests =
      this->callers.ExpectsRequests() || this->forwarded.ExpectsRequests();
  if (!expectsRequests || this->stop.MustExit(this->clock.Now())) {
    this->loop.stop();
  }
}

void EdgeProcess::ScheduleFastTick() {
  const bool isBusy = this->relay.Active() > 0 || this->stop.IsStopping();
  this->tickInterval = isBusy ? kBusyTick : kIdleTick;
  this->fastTimer.expires_after(this->tickInterval);
  this->fastTimer.async_wait([this](const asio::error_code& aError) {
    if (!aError) {
      this->OnFastTick();
    }
  });
}

void EdgeProcess::SchedulePeriodicTick() {
  this->periodicTimer.expires_after(kPeriodicTick);
  this->periodicTimer.async_wait([this](const asio::error_code& aError) {
    if (!aError) {
      this->OnPeriodicTick();
    }
  });
}

void EdgeProcess::OnPeriodicTick() {
  this->SchedulePeriodicTick();
  if (this->stop.ShouldCloseIdle(this->clock.Now())) {
    this->CloseIdleConnections();
  }
  LogIdleTimeouts("callers", this->callers.Tick());
  LogIdleTimeouts("daemons", this->forwarded.Tick());
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
  this->UpdateRetryShare();
}

void EdgeProcess::CloseIdleConnections() {
  const ClosedConnections closed = this->callers.CloseIdle();
  if (closed.idle > 0) {
    LogInfo("idle_closed", {{"connections", closed.idle},
                            {"unused", closed.unused},
                            {"unread", closed.unread}});
  }
}

void EdgeProcess::UpdateRetryShare() {
  const double share = this->retryShares.Update(
      RetryShare(this->settings.retrySlack, this->retryParticipant),
      this->clock.Now());
  if (share == this->relaySettings.retries.burst) {
    return;
  }
  LogInfo("retry_share", {{"daemons", this->retryParticipant.daemons},
                          {"rank", this->retryParticipant.rank},
                          {"burst", share}});
  this->relaySettings.retries.burst = share;
  for (auto& [service, retries] : this->retryWindows) {
    retries.SetBurst(share);
  }
}

bool EdgeProcess::Run(const std::function<void()>& aRun) {
  const bool hasEnded = RunGuarded("events", aRun);
  this->handlerFailures += hasEnded ? 0 : 1;
  return hasEnded;
}

void EdgeProcess::Stop() {
  this->peers.Stop();
  const auto sinceStop = this->stop.SinceSignal(this->clock.Now());
  LogInfo("stopped", {{"active", this->relay.Active()},
                      {"unsent_bytes", this->callers.PendingBytes()},
                      {"unused_connections", this->callers.Unused()},
                      {"since_stop_ms", sinceStop ? *sinceStop / 1ms : -1}});
}

}  // namespace zincstep
