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

/// The router's state that the controller acts on, sent twice per second.
struct DomainControllerInput {
  SnapshotPtr snapshot;
  /// Live entry daemons of this domain, including this one.
  std::vector<Member> live;
  /// Members that have stopped, each with the member that took over its claims.
  std::map<std::string, std::string> handedTo;
  std::vector<DaemonStatus> daemons;
  std::vector<UpstreamState> upstreams;
  /// Upstreams that are leaving.
  std::vector<std::string> leaving;
  /// Whether this daemon is the domain's reader, which polls the VM list more
  /// often than the others.
  bool isReader = false;
  bool isStopping = false;
};

/// The controller's results, for the router.
struct DomainControllerReport {
  /// The VM list, if it was read since the last report.
  std::optional<std::vector<VmEntry>> vms;
  /// The member lists, if they were read since the last report.
  std::optional<MemberLists> members;
  /// Upstreams to pause; set only while this daemon is the leader.
  std::optional<std::vector<std::string>> paused;
  bool isLeader = false;
  /// Fencing token of the lease.
  std::uint64_t fence = 0;
  /// Upstreams that are not as declared, with the reason why they wait.
  std::map<std::string, std::string> stuck;
  /// Whether the last read of the VM list succeeded.
  bool isPlatformReachable = false;
};

/// Reads the VM list, and controls the failure domain while it is the leader.
///
/// Any daemon may become the leader of its domain, by a lease in the key-value
/// service. The leader maintains the member lists, writes the domain's status,
/// and moves upstreams to their declared versions with fenced orders. Runs on
/// its own thread, since calls to the platform block.
class DomainController {
 public:
  using Sink = std::function<void(DomainControllerReport)>;

  DomainController(const EntrySettings& aSettings, std::string aMember,
                   KeyValueStore& aStore, VmList& aVms, const Clock& aClock,
                   Sink aSink);
  ~DomainController();

  DomainController(const DomainController&) = delete;
  DomainController& operator=(const DomainController&) = delete;

  /// Queues the router's latest state; drops it if the queue is full.
  void SetInput(DomainControllerInput aInput);

 private:
  void Loop();
  void RunStep();
  void ReadVms(Instant aNow);
  void MaintainLease(Instant aNow);
  void AcquireLeadership(Instant aNow);
  void RenewLeadership();
  void ResignLeadership();
  void UpdateMemberLists(Instant aNow);
  void Reconcile(Instant aNow);
  void SendOrder(const LoadOrder& aOrder);
  void WriteStatus(Instant aNow);
  std::vector<std::string> StoppedMembers(const MemberLists& aLists) const;
  std::string LeadershipKey() const;

  const EntrySettings& settings;
  std::string member;
  KeyValueStore& store;
  VmList& vmList;
  const Clock& clock;
  Sink sink;
  WakeEvent wakeEvent;
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
