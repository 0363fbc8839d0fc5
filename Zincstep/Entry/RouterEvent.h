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
/// The caller of an exchange has gone.
struct CallerDisconnectedEvent {
  ExchangeId exchange = 0;
};
/// An engine sent a token.
struct TokenCameEvent {
  TokenEvent token;
};
/// An attempt failed.
struct AttemptFailedEvent {
  std::uint64_t request = 0;
  int attempt = 0;
  int stage = -1;
  HopFailure failure = HopFailure::Dead;
};
/// The stages of a chain were asked.
struct ProgressEvent {
  std::uint64_t request = 0;
  int attempt = 0;
  std::vector<StageProgress> progress;
};
/// An upstream was asked for its load.
struct LoadEvent {
  std::string upstream;
  Result<EngineLoad> load;
};
/// A call of a plain service has ended.
struct CallEndEvent {
  CallId call = 0;
  HttpCallResult result;
};
/// A newer configuration is ready.
struct SnapshotEvent {
  SnapshotPtr snapshot;
};
/// A flow plan was computed.
struct PlanEvent {
  PlanResult result;
};
/// The keeper has news.
struct DomainControllerEvent {
  DomainControllerReport report;
};
/// A peer has sent a message.
struct PeerEvent {
  PeerMessage message;
};
/// The daemon is to stop in order.
struct StopEvent {};
/// The daemon is to end at once.
struct AbandonEvent {};

/// Everything that the other threads tell the router's.
using RouterEvent =
    std::variant<CallerRequestEvent, AdminRequestEvent, CallerDisconnectedEvent,
                 TokenCameEvent, AttemptFailedEvent, ProgressEvent, LoadEvent,
                 CallEndEvent, SnapshotEvent, PlanEvent, DomainControllerEvent,
                 PeerEvent, StopEvent, AbandonEvent>;

}  // namespace zincstep
