#pragma once

#include <atomic>
#include <thread>

#include "Zincstep/Entry/ClaimCoordinator.h"
#include "Zincstep/Entry/ModelHandler.h"
#include "Zincstep/Entry/PeerHandler.h"
#include "Zincstep/Entry/RouterEvent.h"
#include "Zincstep/Entry/ServiceHandler.h"
#include "Zincstep/Entry/StatusHandler.h"

namespace zincstep {

/// The threads that the router gives orders to.
struct RouterWorkers {
  PlanWorker& plans;
  ConfigWatcher& watcher;
  DomainController& controller;
};

/// The thread that owns all decisions of a daemon.
///
/// The others only carry: they put events into one bounded ring, and what
/// is decided goes out through the servers and clients, each on a thread
/// of its own. No state is shared, so that none needs a lock.
class Router {
 public:
  Router(EntryContext& aContext, Channel<RouterEvent>& aEvents,
         WakeEvent& aDoorbell, RouterWorkers aWorkers);

  /// Runs until the daemon has stopped in order.
  void Run();

 private:
  /// Life of a daemon after the order to stop.
  enum class Phase { Serving, Draining, Refusing, HandingOver, Done };

  void Handle(RouterEvent& aEvent);
  void OnCallerRequest(const HttpRequest& aRequest);
  void OnSnapshot(const SnapshotPtr& aSnapshot);
  void OnStop();
  void OnTick();
  void AdvanceStop(Instant aNow);
  std::size_t Open() const;

  EntryContext& context;
  Channel<RouterEvent>& events;
  WakeEvent& doorbell;
  RouterWorkers workers;
  ModelPool pool;
  ClaimCoordinator claims;
  ModelHandler models;
  ServiceHandler services;
  PeerHandler peers;
  StatusHandler status;
  Phase phase = Phase::Serving;
  Instant stopAt;
  Instant handOverAt;
};

}  // namespace zincstep
