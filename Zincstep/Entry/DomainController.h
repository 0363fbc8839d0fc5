#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <thread>

#include "Zincstep/Control/Control.h"
#include "Zincstep/Entry/EntrySettings.h"
#include "Zincstep/Entry/Snapshot.h"

namespace zincstep {

/// What the router tells the keeper, about once a second.
struct DomainControllerInput {
  SnapshotPtr snapshot;
  /// Entry daemons of this domain that are heard, this one included.
  std::vector<Member> live;
  std::map<std::string, std::string> handedTo;
  std::vector<DaemonStatus> daemons;
  std::vector<UpstreamState> upstreams;
  std::vector<std::string> leaving;
  bool isReader = false;
  bool isStopping = false;
};

/// What the keeper tells the router.
struct DomainControllerReport {
  std::optional<std::vector<VmEntry>> vms;
  std::optional<MemberLists> members;
  /// Upstreams to pause; set while this daemon has the control duty.
  std::optional<std::vector<std::string>> paused;
  bool isLeader = false;
  std::uint64_t fence = 0;
  std::map<std::string, std::string> stuck;
  /// Whether the platform has answered of late.
  bool platformAnswers = false;
};

/// The thread that speaks with the platform and has the control duty.
///
/// Any daemon may have its domain's duty, by a lease of the key-value
/// service. The holder keeps the member lists, writes the domain's status,
/// and brings upstreams to their declared versions by fenced orders.
class DomainController {
 public:
  using Sink = std::function<void(DomainControllerReport)>;

  DomainController(const EntrySettings& aSettings, std::string aMember,
                   KeyValueStore& aStore, VmList& aVms, const Clock& aClock,
                   Sink aSink);
  ~DomainController();

  DomainController(const DomainController&) = delete;
  DomainController& operator=(const DomainController&) = delete;

  /// Takes the router's view.
  void Tell(DomainControllerInput aInput);

 private:
  void Loop();
  void StepAll();
  void ReadVms(Instant aNow);
  void MaintainLease(Instant aNow);
  void AcquireLeadership(Instant aNow);
  void RenewLeadership();
  void ResignLeadership();
  void UpdateMemberLists(Instant aNow);
  void Reconcile(Instant aNow);
  void SendOrder(const LoadOrder& aOrder);
  void WriteStatus(Instant aNow);
  std::vector<std::string> GoneMembers(const MemberLists& aLists) const;
  std::string LeadershipKey() const;

  const EntrySettings& settings;
  std::string member;
  KeyValueStore& store;
  VmList& vmList;
  const Clock& clock;
  Sink sink;
  WakeEvent doorbell;
  Channel<DomainControllerInput> inputs;
  std::atomic<bool> stopping{false};
  std::unique_ptr<DomainControllerInput> input;
  DomainControllerReport report;
  std::set<std::string> listedVms;
  bool hasVmList = false;
  Instant nextVms;
  Instant nextLeadershipStep;
  Instant nextMembers;
  Instant nextReconcile;
  Instant nextStatus;
  Instant startedAt;
  Instant leaderSince;
  LeaseGuard guard;
  LeaseId lease = 0;
  MemberListPlanner memberListPlanner;
  Reconciler reconciler;
  std::string lastStatus;
  std::uint64_t statusRevision = 0;
  std::thread thread;
};

}  // namespace zincstep
