#pragma once

#include <string>

#include "Zincstep/Admission/Admission.h"
#include "Zincstep/Engine/Engine.h"
#include "Zincstep/Entry/CallerRequest.h"
#include "Zincstep/Entry/DrainPolicy.h"
#include "Zincstep/Entry/EntrySettings.h"
#include "Zincstep/Entry/Snapshot.h"
#include "Zincstep/Membership/Membership.h"
#include "Zincstep/Net/Net.h"
#include "Zincstep/Peer/Peer.h"
#include "Zincstep/Telemetry/Telemetry.h"

namespace zincstep {

/// State that the parts of the router share; used only on the router's thread.
struct EntryContext {
  const EntrySettings& settings;
  const Clock& clock;
  Random random;
  HttpServer& callers;
  HttpServer& admin;
  HttpClient& calls;
  HttpCallListener& callListener;
  EngineClient& engines;
  PeerTransport& transport;
  Tracer& tracer;
  Metrics metrics;
  /// This daemon's member name: VM and incarnation.
  std::string member;
  PeerTable peers;
  LeavingUpstreams leavingUpstreams;
  DomainLimit limits;
  /// The active configuration; null until the first one is accepted.
  SnapshotPtr snapshot;
  /// The agreed member lists, newest first.
  MemberLists members;
  DrainPolicy drain{settings.drainGrace, settings.drainLimit};

  /// Sends a message to a peer.
  void Send(const std::string& aPeerAddress, PeerBody aBody) {
    this->transport.Send(
        aPeerAddress, WritePeerMessage({this->member, this->settings.peerListen,
                                        std::move(aBody)}));
  }

  /// Sends an error response to a caller and counts the refusal.
  void Refuse(ExchangeId aExchange, const Error& aError) {
    const ErrorInfo& row = ErrorInfoFor(aError.kind);
    this->metrics.Count("zincstep_refusals_total",
                        {{"kind", std::string(row.name)}});
    this->callers.Respond(aExchange, ErrorResponse(aError));
  }

  /// Whether a request that ends at `aDeadline` at the latest is accepted; none
  /// if its end is unknown. Logs the decision of a stopping daemon, and refuses
  /// the request if it is not accepted.
  bool AcceptsInStop(ExchangeId aExchange, std::optional<Instant> aDeadline);
};

/// Returns the deadline limits from the settings.
inline CallerLimits LimitsOf(const EntrySettings& aSettings) {
  return {aSettings.defaultDeadline, aSettings.maxDeadline};
}

}  // namespace zincstep
