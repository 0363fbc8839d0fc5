/// \file
/// How the daemon handles events of the cluster: entries, configurations,
/// crashes, limits and suspicions.

#include <algorithm>

#include "Zincstep/Edge/EdgeProcess.h"

namespace zincstep {

namespace {

/// Interval between reports of a blocked request that is not in the store yet:
/// the placement leader, which writes the list, may have missed it.
constexpr Micros kUnlistedInterval = 1s;
/// Age of the lists from which on an upstream may have restarted unseen: longer
/// than they get while the store and the sync source respond.
constexpr Micros kMaxListsAge = 3s;

}  // namespace

void EdgeProcess::OnDaemonEntries() {
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

bool EdgeProcess::HasPathToModels() const {
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

void EdgeProcess::UpdateForwardPeers() {
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

void EdgeProcess::OnStoreRestored(std::uint64_t aBefore, std::uint64_t aEra) {
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

void EdgeProcess::OnCrashes(const std::vector<UpstreamCrash>& aCrashes) {
  this->metrics.Count("zincstep_upstream_crashes_total");
  this->peers.Broadcast(CrashGossip{aCrashes, {}, {}, {}});
}

void EdgeProcess::OnReportDue(const std::vector<UpstreamCrash>& aCrashes) {
  this->peers.Broadcast(CrashGossip{aCrashes, {}, {}, {}});
}

void EdgeProcess::OnSuspected(const std::vector<UpstreamCrash>& aCrashes) {
  this->peers.Broadcast(CrashGossip{{}, {}, aCrashes, {}});
}

void EdgeProcess::OnWithdrawn(const std::vector<UpstreamCrash>& aCrashes) {
  this->peers.Broadcast(CrashGossip{{}, {}, {}, aCrashes});
}

void EdgeProcess::OnCleared(Fingerprint aRequest) {
  this->peers.Broadcast(CrashGossip{{}, {aRequest}, {}, {}});
}

void EdgeProcess::OnBlocked(Fingerprint aRequest) {
  this->relay.OnBlocked(aRequest);
}

void EdgeProcess::OnPeerCrashes(const CrashGossip& aGossip,
                                const std::string& aFrom) {
  CrashGossip unrelated;
  for (const UpstreamCrash& crash : aGossip.crashes) {
    const CrashVerdict verdict =
        this->crashDetector.OnCrash(crash, Provenance::Reported);
    if (verdict == CrashVerdict::Ignored) {
      unrelated.cleared.push_back(crash.candidate);
    }
  }
  for (const UpstreamCrash& crash : aGossip.suspected) {
    if (!this->crashDetector.OnSuspectedByPeer(crash)) {
      unrelated.cleared.push_back(crash.candidate);
    }
  }
  for (const UpstreamCrash& crash : aGossip.withdrawn) {
    this->crashDetector.OnWithdrawnByPeer(crash);
  }
  if (!unrelated.cleared.empty()) {
    // Only the reporter passes this on: otherwise hundreds of daemons that have
    // completed the request would broadcast it.
    this->peers.Send(aFrom, std::move(unrelated));
  }
  for (const Fingerprint request : aGossip.cleared) {
    if (this->crashDetector.OnClearedByPeer(request)) {
      this->peers.Broadcast(CrashGossip{{}, {request}, {}, {}});
    }
  }
}

void EdgeProcess::OnPeerLimits(const LimitGossip& aGossip,
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

void EdgeProcess::UpdateBlockList() {
  const Instant now = this->clock.Now();
  this->crashes.Tick(now);
  const auto listsAge = this->view.ListsAge();
  if (listsAge && *listsAge <= kMaxListsAge) {
    this->crashDetector.CheckListedSuspicions();
  } else {
    this->crashDetector.OnRegistryOutdated();
  }
  if (this->controller.IsLeader()) {
    this->blockList.Write();
    return;
  }
  std::vector<UpstreamCrash> unlisted = this->crashes.UnlistedCrashes(now);
  if (unlisted.empty()) {
    this->nextUnlistedReport = now + kUnlistedInterval;
  } else if (now >= this->nextUnlistedReport) {
    this->nextUnlistedReport = now + kUnlistedInterval;
    this->peers.SendToPlacementLeader(
        CrashGossip{std::move(unlisted), {}, {}, {}});
  }
}

void EdgeProcess::OnConfiguration() {
  const CallerLimits& limits = this->view.Table()->Configuration().limits;
  this->callers.SetLimits(limits);
  this->forwardedLimits = LimitsOfForwarded(limits, this->forwardedLimits);
  this->forwarded.SetLimits(this->forwardedLimits);
  this->relay.ScheduleTick();
  this->peers.OnConfiguration();
}

void EdgeProcess::OnSuspicion(Provenance aProvenance) {
  // The placement leader has to know at once: each tenth of a second counts.
  // Reported suspicions were sent by their observer already; if a hundred
  // daemons forwarded them to each other, that would be ten thousand messages.
  if (aProvenance == Provenance::Observed) {
    this->peers.GossipSoon();
  }
  this->controller.Tick();
  this->relay.ScheduleTick();
}

}  // namespace zincstep
