#pragma once

#include <string>

#include "Zincstep/Admission/Admission.h"
#include "Zincstep/Engine/Engine.h"
#include "Zincstep/Entry/CallerRequest.h"
#include "Zincstep/Entry/EntrySettings.h"
#include "Zincstep/Entry/Snapshot.h"
#include "Zincstep/Membership/Membership.h"
#include "Zincstep/Net/Net.h"
#include "Zincstep/Peer/Peer.h"
#include "Zincstep/Telemetry/Telemetry.h"

namespace zincstep {

/// What the parts of the router share; used on the router's thread only.
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
  /// This process' name among the members: VM and incarnation.
  std::string member;
  PeerTable peers;
  LeavingUpstreams roster;
  DomainLimit limits;
  SnapshotPtr snapshot;
  /// The agreed lists of members, newest first.
  MemberLists members;
  bool stopping = false;

  /// Sends a message to a peer.
  void Send(const std::string& aPeerAddress, PeerBody aBody) {
    this->transport.Send(
        aPeerAddress, WritePeerMessage({this->member, this->settings.peerListen,
                                        std::move(aBody)}));
  }

  /// Refuses a request of a caller and counts it.
  void Refuse(ExchangeId aExchange, const Error& aError) {
    const ErrorInfo& row = ErrorInfoFor(aError.kind);
    this->metrics.Count("zincstep_refusals_total",
                        {{"kind", std::string(row.name)}});
    this->callers.Respond(aExchange, ErrorResponse(aError));
  }
};

/// Limits of deadlines, from the settings.
inline CallerLimits LimitsOf(const EntrySettings& aSettings) {
  return {aSettings.defaultDeadline, aSettings.maxDeadline};
}

}  // namespace zincstep
