#pragma once

#include <algorithm>
#include <memory>
#include <optional>
#include <string>

#include "Zincstep/Config/Config.h"
#include "Zincstep/Pool/CallShare.h"
#include "Zincstep/Routes/Routes.h"

namespace zincstep {

/// What an upstream tells of itself.
enum class Availability { Ready, Draining };

inline constexpr NameTable<Availability, 2> kAvailabilityNames{{
    {Availability::Ready, "ready"},
    {Availability::Draining, "draining"},
}};

/// How a daemon came to know something of an upstream.
///
/// What was told is not told on: two daemons would keep it alive between
/// them after whoever found it has seen that it is over.
enum class Provenance { Observed, Reported };

/// One start of an upstream. It may start again under the id that it had, and
/// then holds and knows nothing of before.
struct Incarnation {
  std::string id;
  /// When it started, in milliseconds since 1970 by its own clock; only told
  /// apart, never compared with another clock. 0: it does not tell.
  std::int64_t startTimeMs = 0;

  bool operator==(const Incarnation&) const = default;
  /// Names it where a text is needed.
  std::string Text() const {
    return this->id + "@" + std::to_string(this->startTimeMs);
  }
  /// Stands for it where daemons tell each other of upstreams.
  std::uint64_t Number() const { return Hash64(this->Text()); }
};

/// One incarnation of an upstream as it announces itself.
struct UpstreamEntry {
  /// Of the upstream; it may start again under it.
  std::string id;
  std::string service;
  /// host:port; may go to another service once this incarnation has ended.
  std::string address;
  std::string failureDomain;
  Availability state = Availability::Ready;
  /// Requests that it works on at once.
  int slots = 1;
  /// Layers that it holds; empty where it holds none.
  LayerRange layers;
  /// Kind of its accelerator; empty for plain services.
  std::string kind;
  /// When it started, as `Incarnation::startTimeMs`.
  std::int64_t startTimeMs = 0;

  /// What every belief about the upstream belongs to.
  zincstep::Incarnation Incarnation() const {
    return {this->id, this->startTimeMs};
  }

  /// Whether it holds layers of a model and answers probes; else it is of a
  /// plain service.
  bool IsOfModel() const { return !this->kind.empty(); }
};

/// One incarnation with what this daemon knows of it beyond its entry.
class LiveUpstream {
 public:
  explicit LiveUpstream(UpstreamEntry aEntry)
      : entry(std::move(aEntry)), number(this->entry.Incarnation().Number()) {}

  const UpstreamEntry& Entry() const { return this->entry; }
  /// As `Incarnation::Number`.
  std::uint64_t Number() const { return this->number; }
  void SetEntry(UpstreamEntry aEntry, Instant aNow);

  /// It has said that it leaves: as if its entry did.
  void SetLeaving(Instant aNow);
  bool IsDraining() const {
    return this->entry.state == Availability::Draining;
  }

  /// There is evidence that it does not answer; it gets no new work for
  /// a time that doubles with each suspicion in a row.
  void Suspect(Instant aNow);
  /// The evidence is out of date: it may be given work again, and the next
  /// suspicion is as short as the first.
  void ClearSuspicion() {
    this->suspectUntil = Instant{};
    this->suspicions = 0;
  }
  /// It has refused work; no more is given to it until then.
  void EjectUntil(Instant aUntil) {
    this->ejectionEnd = std::max(this->ejectionEnd, aUntil);
  }
  bool IsSuspect(Instant aNow) const { return aNow < this->suspectUntil; }
  /// Whether the suspicion has just come up and may yet prove to be wrong.
  bool IsNewlySuspect(Instant aNow) const;

  /// It has left the list; what runs there may still end.
  void SetDeregistered(Instant aNow);
  /// It is on the list again: it was cut off, not ended.
  void SetReregistered() {
    this->isDeregistered = this->hasEnded;
    this->leavingSince.reset();
  }
  bool IsDeregistered() const { return this->isDeregistered; }
  /// It has started again: nothing that was sent to this start runs any more.
  void SetEnded(Instant aNow) {
    this->hasEnded = true;
    this->SetDeregistered(aNow);
  }
  bool HasEnded() const { return this->hasEnded; }
  /// Whether it has been leaving for so long.
  bool IsLeaving(Instant aNow, Micros aFor) const {
    return this->leavingSince && aNow - *this->leavingSince >= aFor;
  }
  /// Whether new work may be given to it.
  bool IsUsable(Instant aNow) const {
    return !this->isDeregistered && this->entry.state == Availability::Ready &&
           !this->IsSuspect(aNow) && !this->IsRefusing(aNow) &&
           aNow >= this->ejectionEnd;
  }
  /// Whether it lives and stays, as far as is known.
  bool IsHealthy(Instant aNow) const {
    return !this->isDeregistered && this->entry.state == Availability::Ready &&
           !this->IsSuspect(aNow);
  }
  /// Whether it does, and takes new work.
  bool IsAcceptingWork(Instant aNow) const {
    return this->IsHealthy(aNow) && !this->IsRefusing(aNow);
  }

  /// It names a limit, of which this daemon may use so many calls a second.
  void SetCallRate(double aPerSecond, Instant aNow);
  /// It names no limit any more.
  void LiftCallRate() { this->callShare.reset(); }
  /// It wants no call from this daemon until then.
  void BackOffUntil(Instant aUntil) {
    this->backoffUntil = std::max(this->backoffUntil, aUntil);
  }
  bool IsBackingOff(Instant aNow) const { return aNow < this->backoffUntil; }
  /// A call to it begins, whatever for.
  void OnCall(Instant aNow);
  /// Whether this daemon may call it now: send a request, an order or a
  /// question. As a later member of a chain it gets no calls.
  bool MayCall(Instant aNow) const {
    return !this->IsBackingOff(aNow) &&
           (!this->callShare || this->callShare->HasCall(aNow));
  }
  /// Whether it has had no call for so long that its limit may have ended.
  bool IsCallOverdue(Instant aNow) const {
    return this->callShare && this->callShare->IsOverdue(aNow);
  }
  /// Time until this daemon may.
  Micros CallWait(Instant aNow) const;

  /// Something came through it, which proves that it lives.
  void OnResponse(Instant aNow);
  /// When it was last proved to live.
  Instant LastResponseAt() const { return this->answeredAt; }

  /// It has told how quick it is; above 1 it is slower than its kind.
  void SetSlowdown(double aPace, Instant aNow,
                   Provenance aProvenance = Provenance::Observed) {
    this->pace = aPace;
    this->slowdownAt = aNow;
    this->slowdownProvenance = aProvenance;
  }
  /// What it last told of that, unless it is out of date: then 1.
  double Slowdown(Instant aNow) const;
  /// The same if it told this daemon, else 1.
  double ObservedSlowdown(Instant aNow) const {
    return this->slowdownProvenance == Provenance::Observed
               ? this->Slowdown(aNow)
               : 1;
  }
  /// Whether it takes so much longer that requests should go elsewhere.
  bool IsSlow(Instant aNow) const;

  /// It has refused a request although it should have room: evidence that
  /// it leaves or lacks what it tells, once it comes twice in a row.
  void OnRefusal(Instant aNow);
  /// It has accepted a request.
  void OnAccepted() { this->refusals = 0; }
  /// Whether it is taken to refuse all new work.
  bool IsRefusing(Instant aNow) const { return aNow < this->refusingUntil; }
  /// Work of this daemon in flight, in tokens x layers or in requests.
  double localWork = 0;
  /// Another daemon has that much work in flight; see `PeerWork`.
  void AddRemoteWork(double aWork);
  /// Takes back what was added before.
  void RemoveRemoteWork(double aWork);
  /// All work in flight that is known of.
  double Work() const { return this->localWork + this->remoteWork; }
  /// Time of an answer of a plain service, averaged, in seconds.
  double responseSeconds = 0;
  /// Requests that waited there when it last told; set back as time passes.
  double queuedRequests = 0;
  Instant queueReportedAt;

 private:
  UpstreamEntry entry;
  std::uint64_t number;
  /// Work of all other daemons, and how many of them have some.
  double remoteWork = 0;
  int remoteDaemons = 0;
  /// None: it names no limit.
  std::optional<CallShare> callShare;
  Instant backoffUntil{};
  Instant refusingUntil{};
  std::optional<Instant> leavingSince;
  int refusals = 0;
  Instant suspectUntil{};
  Instant answeredAt{};
  Instant ejectionEnd{};
  Instant suspectedAt{};
  int suspicions = 0;
  double pace = 1;
  Instant slowdownAt{};
  Provenance slowdownProvenance = Provenance::Reported;
  /// It has said so itself; its entry may be written before it says so too.
  bool isLeaving = false;
  bool isDeregistered = false;
  bool hasEnded = false;
};

using UpstreamPtr = std::shared_ptr<LiveUpstream>;

}  // namespace zincstep
