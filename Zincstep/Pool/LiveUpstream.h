#pragma once

#include <algorithm>
#include <memory>
#include <optional>
#include <string>

#include "Zincstep/Config/Config.h"
#include "Zincstep/Pool/CallShare.h"
#include "Zincstep/Pool/FirstStageLoad.h"
#include "Zincstep/Pool/LossEvidence.h"
#include "Zincstep/Routes/Routes.h"

namespace zincstep {

/// State that an upstream announces.
enum class Availability { Ready, Draining };

inline constexpr NameTable<Availability, 2> kAvailabilityNames{{
    {Availability::Ready, "ready"},
    {Availability::Draining, "draining"},
}};

/// How a daemon learnt something about an upstream.
///
/// Reported information is not forwarded: otherwise two daemons would keep it
/// alive between them after the daemon that observed it has seen that it no
/// longer applies.
enum class Provenance { Observed, Reported };

/// One start of an upstream. An upstream may restart under the same id and then
/// has no layers, requests or orders of the previous start.
struct Incarnation {
  std::string id;
  /// Start time in milliseconds since 1970 by the upstream's own clock; only
  /// tested for equality, never compared with another clock. 0: not stated.
  std::int64_t startTimeMs = 0;

  bool operator==(const Incarnation&) const = default;
  /// Text form, unique for each start.
  std::string Text() const {
    return this->id + "@" + std::to_string(this->startTimeMs);
  }
  /// Hash that identifies the incarnation in messages between daemons.
  std::uint64_t Number() const { return Hash64(this->Text()); }
};

/// The entry of one incarnation of an upstream, as it registers itself.
struct UpstreamEntry {
  /// Id of the upstream; a restart may reuse it.
  std::string id;
  std::string service;
  /// host:port; may be reused by another service after this incarnation has
  /// ended.
  std::string address;
  std::string failureDomain;
  Availability state = Availability::Ready;
  /// Requests that it runs concurrently.
  int slots = 1;
  /// Layers that it holds; empty if none.
  LayerRange layers;
  /// Kind of its accelerator; empty for plain services.
  std::string kind;
  /// Start time, as `Incarnation::startTimeMs`.
  std::int64_t startTimeMs = 0;

  /// The incarnation to which all known state of the upstream belongs.
  zincstep::Incarnation Incarnation() const {
    return {this->id, this->startTimeMs};
  }

  /// Whether it belongs to a model, holds layers and answers probes; otherwise
  /// it belongs to a plain service.
  bool IsOfModel() const { return !this->kind.empty(); }
};

/// One incarnation of an upstream: its entry and the state that this daemon
/// knows in addition.
class LiveUpstream {
 public:
  explicit LiveUpstream(UpstreamEntry aEntry)
      : entry(std::move(aEntry)), number(this->entry.Incarnation().Number()) {}

  const UpstreamEntry& Entry() const { return this->entry; }
  /// As `Incarnation::Number`.
  std::uint64_t Number() const { return this->number; }
  void SetEntry(UpstreamEntry aEntry, Instant aNow);

  /// The upstream announced that it is leaving; treated as a draining entry.
  void SetLeaving(Instant aNow);
  bool IsDraining() const {
    return this->entry.state == Availability::Draining;
  }

  /// Suspects the upstream because it does not respond: it gets no new work for
  /// a time that doubles with each consecutive suspicion.
  void Suspect(Instant aNow);
  /// Clears the suspicion: the upstream may get work again, and the next
  /// suspicion has the initial length.
  void ClearSuspicion() {
    this->suspectUntil = Instant{};
    this->suspicions = 0;
  }
  /// Sends no new work until `aUntil`, after the upstream refused some.
  void EjectUntil(Instant aUntil) {
    this->ejectionEnd = std::max(this->ejectionEnd, aUntil);
  }
  bool IsSuspect(Instant aNow) const { return aNow < this->suspectUntil; }
  /// Whether the suspicion is recent and not confirmed yet.
  bool IsNewlySuspect(Instant aNow) const;

  /// The entry was removed; requests that run there may still complete.
  void SetDeregistered(Instant aNow);
  /// The entry of the same incarnation is back: it was partitioned, not ended.
  void SetReregistered() {
    this->isDeregistered = this->hasEnded;
    this->leavingSince.reset();
  }
  bool IsDeregistered() const { return this->isDeregistered; }
  /// The upstream has restarted: no request sent to this incarnation runs any
  /// more.
  void SetEnded(Instant aNow) {
    this->hasEnded = true;
    this->SetDeregistered(aNow);
  }
  bool HasEnded() const { return this->hasEnded; }
  /// Another incarnation of its service was listed at its address after it.
  /// Shows that it has ended unless it responds again: entries may be delayed.
  void SetSucceeded() { this->isSucceeded = true; }
  bool IsSucceeded() const { return this->isSucceeded; }
  /// Whether it has been leaving for at least `aDuration`.
  bool IsLeaving(Instant aNow, Micros aDuration) const {
    return this->leavingSince && aNow - *this->leavingSince >= aDuration;
  }
  /// Whether it may get new work.
  bool IsUsable(Instant aNow) const {
    return !this->isDeregistered && this->entry.state == Availability::Ready &&
           !this->IsSuspect(aNow) && !this->IsRefusing(aNow) &&
           aNow >= this->ejectionEnd;
  }
  /// Whether it is alive and not leaving, as far as known.
  bool IsHealthy(Instant aNow) const {
    return !this->isDeregistered && this->entry.state == Availability::Ready &&
           !this->IsSuspect(aNow);
  }
  /// Whether it is healthy and accepts new work.
  bool IsAcceptingWork(Instant aNow) const {
    return this->IsHealthy(aNow) && !this->IsRefusing(aNow);
  }

  /// Sets this daemon's share of the upstream's call limit, in calls per
  /// second.
  void SetCallRate(double aPerSecond, Instant aNow);
  /// Removes the call limit.
  void ClearCallRate() { this->callShare.reset(); }
  /// Whether the upstream states a call limit.
  bool HasCallLimit() const { return this->callShare.has_value(); }
  /// Makes no calls to the upstream until `aUntil`, as it requested.
  void BackOffUntil(Instant aUntil) {
    this->backoffUntil = std::max(this->backoffUntil, aUntil);
  }
  bool IsBackingOff(Instant aNow) const { return aNow < this->backoffUntil; }
  /// Records the start of a call of any kind.
  void OnCall(Instant aNow);
  /// Whether this daemon may send it a request, an order or a probe now. As a
  /// later member of a chain an upstream receives no calls.
  bool MayCall(Instant aNow) const {
    return !this->IsBackingOff(aNow) &&
           (!this->callShare || this->callShare->HasCall(aNow));
  }
  /// Whether it has not been called for so long that its limit may have ended.
  bool IsCallOverdue(Instant aNow) const {
    return this->callShare && this->callShare->IsOverdue(aNow);
  }
  /// Time until this daemon may call it.
  Micros CallWait(Instant aNow) const;

  /// Records a response or an event, which shows that the upstream is alive.
  void OnResponse(Instant aNow);
  /// Time of the last response.
  Instant LastResponseAt() const { return this->lastResponseAt; }

  /// Sets its time per step over the normal time of its kind.
  void SetSlowdown(double aSlowdown, Instant aNow,
                   Provenance aProvenance = Provenance::Observed) {
    this->slowdown = aSlowdown;
    this->slowdownAt = aNow;
    this->slowdownProvenance = aProvenance;
  }
  /// Its last known slowdown, or 1 if that is out of date.
  double Slowdown(Instant aNow) const;
  /// The slowdown if this daemon observed it, else 1.
  double ObservedSlowdown(Instant aNow) const {
    return this->slowdownProvenance == Provenance::Observed
               ? this->Slowdown(aNow)
               : 1;
  }
  /// Whether it is so slow that requests should move to another upstream.
  bool IsSlow(Instant aNow) const;

  /// Records that it refused a request although it should have room. Several
  /// refusals in a row show that it is leaving or lacks the resources that it
  /// reported.
  void OnRefusal(Instant aNow);
  /// Records that it accepted a request.
  void OnAccepted() { this->refusals = 0; }
  /// Whether it is expected to refuse all new work.
  bool IsRefusing(Instant aNow) const { return aNow < this->refusingUntil; }
  /// Work of this daemon in flight, in tokens x layers for models or in
  /// requests for plain services.
  double localWork = 0;
  /// Adds another daemon's work in flight; see `PeerWork`.
  void AddRemoteWork(double aWork);
  /// Subtracts work that `AddRemoteWork` added.
  void RemoveRemoteWork(double aWork);
  /// All known work in flight.
  double Work() const { return this->localWork + this->remoteWork; }
  /// Records the work of all daemons of its failure domain, as one of them
  /// reported it to the placement leader.
  void SetDomainWork(double aWork, Instant aNow) {
    this->domainWork = aWork;
    this->domainWorkAt = aNow;
  }
  /// Work in flight as known to the placement leader.
  double WorkForPlacement(Instant aNow) const;
  /// Requests in flight with this upstream as the first stage of their chain.
  FirstStageLoad firstStage;
  /// Signs that it is lost, other than an unanswered probe.
  LossEvidence loss;
  /// Records that it has to read tokens of a repaired stream for `aTime`.
  void AddRead(Micros aTime, Instant aNow) {
    this->readsEnd = std::max(this->readsEnd, aNow) + aTime;
  }
  /// Time until the recorded reads are complete.
  Micros ReadWait(Instant aNow) const {
    return std::max(Micros{0}, this->readsEnd - aNow);
  }
  /// Average response time of a plain service, in seconds; 0: none yet.
  double responseSeconds = 0;
  /// Queued requests in its last response, and when that arrived.
  double queuedRequests = 0;
  Instant queueReportedAt;

 private:
  UpstreamEntry entry;
  std::uint64_t number;
  /// Work of all other daemons, and the number of daemons that have some.
  double remoteWork = 0;
  int remoteDaemons = 0;
  /// Not part of `remoteWork`, which is the work of this daemon's own domain.
  double domainWork = 0;
  Instant domainWorkAt{};
  /// None: the upstream states no limit.
  std::optional<CallShare> callShare;
  Instant backoffUntil{};
  Instant refusingUntil{};
  std::optional<Instant> leavingSince;
  int refusals = 0;
  Instant suspectUntil{};
  Instant lastResponseAt{};
  Instant ejectionEnd{};
  Instant suspectedAt{};
  Instant readsEnd{};
  int suspicions = 0;
  double slowdown = 1;
  Instant slowdownAt{};
  Provenance slowdownProvenance = Provenance::Reported;
  /// Whether it announced that it is leaving; its entry may be written before
  /// it says so too.
  bool isLeaving = false;
  bool isDeregistered = false;
  bool hasEnded = false;
  bool isSucceeded = false;
};

using UpstreamPtr = std::shared_ptr<LiveUpstream>;

}  // namespace zincstep
