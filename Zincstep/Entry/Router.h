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

/// The worker threads that the router uses.
struct RouterWorkers {
  PlanWorker& plans;
  ConfigWatcher& watcher;
  DomainController& controller;
};

/// The event loop that makes all decisions of a daemon.
///
/// The other threads only do I/O or compute: they push events into one bounded
/// ring, and the router acts through the servers and clients, which have their
/// own threads. No state is shared, so none needs a lock.
class Router {
 public:
  Router(EntryContext& aContext, Channel<RouterEvent>& aEvents,
         WakeEvent& aWakeEvent, RouterWorkers aWorkers);

  /// Runs until the daemon has stopped.
  void Run();

 private:
  /// Phases of a graceful stop. While `Closing`, the callers' server refuses
  /// new requests, and those that it has passed on before are refused here.
  enum class Phase { Serving, Draining, Refusing, HandingOver, Closing, Done };

  void Handle(RouterEvent& aEvent);
  void OnCallerRequest(const HttpRequest& aRequest);
  void OnSnapshot(const SnapshotPtr& aSnapshot);
  void OnStop();
  void OnTick();
  void AdvanceStop(Instant aNow);
  void CloseCallers();
  void OnRequestsEnded();
  std::size_t OpenRequests() const;

  EntryContext& context;
  Channel<RouterEvent>& events;
  WakeEvent& wakeEvent;
  RouterWorkers workers;
  ModelPool pool;
  ClaimCoordinator claims;
  ModelHandler models;
  ServiceHandler services;
  PeerHandler peers;
  StatusHandler status;
  Phase phase = Phase::Serving;
  Instant handOverStartedAt;
};

}  // namespace zincstep
