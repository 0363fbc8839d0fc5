#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Zincstep/Pool/Pool.h"
#include "Zincstep/Relay/CapacityQueue.h"
#include "Zincstep/Relay/RefusedRequests.h"

namespace zincstep {

/// State that a decision about a service's room is based on.
struct CapacityInput {
  const ModelShape& model;
  const std::vector<UpstreamPtr>& upstreams;
  const std::string& ownDomain;
  /// Mean duration of a response; 0: unknown.
  double responseSeconds = 0;
  /// Tokens of streams that have begun and wait for a chain: they go first.
  double reservedTokens = 0;
  Instant now{};
};

/// A request that may start, and where.
struct CapacityStart {
  std::uint64_t id = 0;
  /// Upstreams of the failure domains that have room for it. Valid until the
  /// next call.
  const std::vector<UpstreamPtr>* upstreams = nullptr;
};

/// Why a request was refused for lack of room.
enum class RoomRefusal { NoRoom, ObjectiveMissed, QueueFull };

/// Texts for the log.
inline constexpr NameTable<RoomRefusal, 3> kRoomRefusalNames{{
    {RoomRefusal::NoRoom, "no room for its priority"},
    {RoomRefusal::ObjectiveMissed, "the latency objective cannot be met"},
    {RoomRefusal::QueueFull, "the queue is full"},
}};

/// Decides which requests of one service start, wait or are refused while its
/// room is scarce.
class ServiceCapacity {
 public:
  explicit ServiceCapacity(double aMemoryLimit) : rooms(aMemoryLimit) {}

  /// Sets the daemons of the own failure domain, with this one, and the
  /// interval between their reports.
  void SetDomain(std::size_t aDaemons, Micros aReportInterval);
  /// Records a request's arrival as demand.
  void OnRequest(int aPriority, const std::string& aOrganisation,
                 double aTokens, Instant aNow);
  /// Adds a request to the queue; `aHistory` and the shares of its organisation
  /// determine its order. Returns the requests that are refused for it.
  std::vector<std::uint64_t> Add(WaitingRequest aRequest,
                                 RefusalHistory aHistory,
                                 const CapacityInput& aInput);
  /// Returns the next request that may start. Call `OnStarted` or `Defer` with
  /// it before the next call.
  std::optional<CapacityStart> NextStart(const CapacityInput& aInput);
  void OnStarted(std::uint64_t aId);
  /// Records that no chain had room for the request; it waits on.
  void Defer(std::uint64_t aId);
  /// Ends a pass of starts: deferred requests are considered again.
  void EndPass(Instant aNow) { this->queue.EndDeferral(aNow); }
  /// Removes and returns the requests that have waited too long.
  std::vector<std::uint64_t> PopExpired(Instant aNow) {
    return this->queue.PopExpired(aNow);
  }
  /// Removes a request whose caller has disconnected.
  bool Remove(std::uint64_t aId) { return this->queue.Remove(aId); }
  /// Records that a started request has ended.
  void OnEnded(int aPriority, const std::string& aOrganisation, double aTokens);
  /// Records that work of the service was started or has ended here.
  void OnWorkChanged() { this->rooms.Invalidate(); }

  /// Time from a request's start to its first event.
  void OnFirstEvent(Micros aDelay);
  /// Usual time from a request's start to its first event.
  Micros UsualFirstEvent(const ModelShape& aModel) const;

  /// Returns the time until there is room for a request of that priority and
  /// size, at the present rate of completions; none if layers are missing.
  std::optional<Micros> ExpectedWait(int aPriority,
                                     const std::string& aOrganisation,
                                     double aTokens,
                                     const CapacityInput& aInput);

  /// Demand of this daemon's callers, for peers.
  std::vector<PriorityDemand> Demands(Instant aNow) const;
  /// Applies the demand of a peer of the own failure domain.
  void OnPeerDemands(const std::string& aPeer,
                     const std::vector<PriorityDemand>& aDemands, Instant aNow);
  /// Applies the demand of its organisations.
  void OnPeerOrganisations(const std::string& aPeer,
                           const std::vector<OrganisationDemand>& aDemands,
                           Instant aNow);
  /// Removes outdated reports; call several times per second.
  void Tick(Instant aNow);

  CapacityQueue& Queue() { return this->queue; }
  const CapacityQueue& Queue() const { return this->queue; }
  RefusedRequests& Refused() { return this->refused; }
  const OrganisationShares& Shares() const { return this->shares; }

 private:
  RoomRequest RequestOf(int aPriority, const std::string& aOrganisation,
                        double aTokens, bool aIsOverShare, Instant aNow) const;
  /// The room of the own domain, or null if no upstream is usable there.
  const DomainRoom* OwnRoom(const CapacityInput& aInput);
  /// Whether the organisation uses more than its fair share of the own domain.
  bool IsOverShare(const std::string& aOrganisation,
                   const CapacityInput& aInput);
  /// Returns the upstreams of the domains with room for the request; null if
  /// there are none.
  const std::vector<UpstreamPtr>* FindRoom(const RoomRequest& aRequest,
                                           bool aIgnoresHeadroom,
                                           const CapacityInput& aInput);

  CapacityQueue queue{CapacityQueueSettings{}};
  PriorityHeadroom headroom{PriorityHeadroomSettings{}};
  OrganisationShares shares;
  DomainRooms rooms;
  RefusedRequests refused;
  Micros reportInterval = 400ms;
  /// Tokens in flight of this daemon, by priority.
  std::map<int, double> used;
  /// Moving average, in seconds; 0: none yet.
  double firstEventSeconds = 0;
  /// Mean tokens of a request, to convert slots into tokens.
  double meanTokens = 0;
  /// Upstreams of the domains with room, if not all have room.
  std::vector<UpstreamPtr> candidates;
  std::vector<bool> hasRoom;
};

}  // namespace zincstep
