#pragma once

#include <variant>

#include "Zincstep/Engine/Engine.h"
#include "Zincstep/Entry/DomainController.h"
#include "Zincstep/Entry/PlanWorker.h"
#include "Zincstep/Entry/Snapshot.h"
#include "Zincstep/Peer/Peer.h"

namespace zincstep {

/// A caller's request.
struct CallerRequestEvent {
  HttpRequest request;
};
/// An operator's request.
struct AdminRequestEvent {
  HttpRequest request;
};
/// The caller of an exchange has disconnected.
struct CallerDisconnectedEvent {
  ExchangeId exchange = 0;
};
/// An engine sent a token.
struct TokenReceivedEvent {
  TokenEvent token;
};
/// An attempt failed.
struct AttemptFailedEvent {
  std::uint64_t request = 0;
  int attempt = 0;
  int stage = -1;
  HopFailure failure = HopFailure::Dead;
};
/// The stages of a chain were probed.
struct ProgressEvent {
  std::uint64_t request = 0;
  int attempt = 0;
  std::vector<StageProgress> progress;
};
/// A load query to an upstream has ended.
struct LoadEvent {
  std::string upstream;
  Result<EngineLoad> load;
};
/// A call of a plain service has ended.
struct CallEndEvent {
  CallId call = 0;
  HttpCallResult result;
};
/// No caller's request can follow.
struct RequestsEndedEvent {};
/// A newer configuration was accepted.
struct SnapshotEvent {
  SnapshotPtr snapshot;
};
/// A flow plan was computed.
struct PlanEvent {
  PlanResult result;
};
/// The domain controller sent a report.
struct DomainControllerEvent {
  DomainControllerReport report;
};
/// A peer sent a message.
struct PeerEvent {
  PeerMessage message;
};
/// The daemon must stop gracefully.
struct StopEvent {};
/// The daemon must stop at once.
struct AbandonEvent {};

/// Any event that another thread sends to the router.
using RouterEvent =
    std::variant<CallerRequestEvent, AdminRequestEvent, CallerDisconnectedEvent,
                 TokenReceivedEvent, AttemptFailedEvent, ProgressEvent,
                 LoadEvent, CallEndEvent, SnapshotEvent, PlanEvent,
                 DomainControllerEvent, PeerEvent, StopEvent, AbandonEvent,
                 RequestsEndedEvent>;

}  // namespace zincstep
