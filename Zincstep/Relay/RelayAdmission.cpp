/// \file
/// Admission of requests: route, key, blocked requests, and a planned stop.

#include <algorithm>

#include "Zincstep/Relay/Relay.h"

namespace zincstep {

namespace {

/// Maximum validation age at which an unknown route or key is refused for good.
/// With an older one it may have just been added, so the caller is asked to
/// retry.
constexpr Micros kMaxRefusalValidationAge = 2s;
/// Timeout of a request whose caller gives none.
constexpr Micros kDefaultTimeout = 30s;

}  // namespace

bool Relay::MayBeOutdated(std::uint64_t aAdmittedVersion) const {
  const ClusterView& view = this->context.view;
  const auto age = view.ValidationAge();
  return !age || *age > kMaxRefusalValidationAge ||
         view.ConfigVersion() < aAdmittedVersion;
}

Relay::Tables Relay::TablesFor(std::uint64_t aAdmittedVersion) const {
  const ClusterView& view = this->context.view;
  Tables tables{view.Table()};
  if (aAdmittedVersion == 0 || aAdmittedVersion >= view.ConfigVersion()) {
    return tables;
  }
  const Instant now = this->context.clock.Now();
  for (const FormerConfiguration& former : view.FormerConfigurations()) {
    if (now - former.validatedAt <= this->context.settings.maxValidationAge) {
      tables.push_back(former.table);
    }
  }
  return tables;
}

Result<void> Relay::CheckKey(AdmittedRequest& aRequest, const Tables& aTables,
                             std::uint64_t aAdmittedVersion) const {
  const auto age = this->context.view.ValidationAge();
  const bool isCurrent = !this->MayBeOutdated(aAdmittedVersion);
  const RoutedOrganisation* organisation = nullptr;
  for (const auto& table : aTables) {
    organisation = organisation != nullptr
                       ? organisation
                       : table->FindOrganisation(aRequest.info.apiKey);
  }
  const bool isFormer =
      aRequest.table != aTables.front() ||
      (organisation != nullptr &&
       aTables.front()->FindOrganisation(aRequest.info.apiKey) == nullptr);
  if (isFormer) {
    LogInfo("admitted_by_former",
            {{"request", aRequest.info.id},
             {"admitted_version", aAdmittedVersion},
             {"config_version", this->context.view.ConfigVersion()}});
  }
  if (organisation != nullptr) {
    aRequest.organisation = organisation->name;
    aRequest.priority = organisation->priority.value_or(aRequest.priority);
  }
  if (aRequest.route->isPublic) {
    return {};
  }
  if (organisation == nullptr) {
    // A key that was removed or never existed admits nobody, even where a
    // request without one is admitted.
    const bool needsKey =
        !aRequest.info.apiKey.empty() ||
        std::all_of(aTables.begin(), aTables.end(),
                    [](const auto& aTable) { return aTable->RequiresKeys(); });
    if (!needsKey) {
      return {};
    }
    return isCurrent || aRequest.info.apiKey.empty()
               ? Fail(ErrorKind::Unauthenticated, "unknown key")
               : Fail(ErrorKind::NotReady,
                      "unknown key, configuration may be outdated");
  }
  const bool isFresh = age && *age <= this->context.settings.maxValidationAge;
  if (this->context.settings.failsClosed && !isFresh) {
    return Fail(ErrorKind::NotReady, "the key is not validated");
  }
  return {};
}

Result<void> Relay::CheckCrashes(const AdmittedRequest& aRequest) const {
  const CrashTracker& crashes = this->context.crashes;
  if (!crashes.MayBlock()) {
    return {};
  }
  const auto block =
      crashes.FindBlock(aRequest.Candidates(), this->context.clock.Now());
  if (!block) {
    return {};
  }
  return tl::unexpected(Error{
      ErrorKind::RequestBlocked,
      "upstreams crashed under " +
          std::string(NameIn(kFingerprintKindNames, KindOf(block->candidate))) +
          " " + TextOf(block->candidate),
      block->remaining});
}

ExpectedDuration Relay::ExpectedOf(const AdmittedRequest& aRequest,
                                   Instant aNow) const {
  ExpectedDuration expected = LongestDurationOf(aRequest, aNow);
  expected.usual = this->context.durations.Usual(aRequest.route->name, aNow);
  return expected;
}

Result<AdmittedRequest> Relay::Admit(ArrivedRequest aRequest) const {
  AdmittedRequest request;
  request.connection = std::move(aRequest.connection);
  request.info = this->context.dialect.ReadRequest(aRequest.message.head);
  request.message = std::move(aRequest.message);
  request.isForwarded = aRequest.forward.has_value();
  const ForwardStatement stated = aRequest.forward.value_or(ForwardStatement{});
  request.priorRuns = stated.runs;
  if (!this->context.view.Table()) {
    return Fail(ErrorKind::NotReady, "no configuration received yet");
  }
  const Tables tables = this->TablesFor(stated.admittedVersion);
  for (const auto& table : tables) {
    request.table = table;
    request.route =
        table->FindRoute(request.info.host, request.message.head.target);
    if (request.route != nullptr) {
      break;
    }
  }
  if (request.route == nullptr) {
    return this->MayBeOutdated(stated.admittedVersion)
               ? Fail(ErrorKind::NotReady,
                      "unknown route, configuration may be outdated")
               : Fail(ErrorKind::UnknownRoute, "unknown route");
  }
  request.priority = request.route->priority;
  const Result<void> key =
      this->CheckKey(request, tables, stated.admittedVersion);
  if (!key) {
    return tl::unexpected(key.error());
  }
  request.service =
      request.table->Choose(*request.route, this->context.random.Unit());
  if (request.service == nullptr) {
    return Fail(ErrorKind::NoCapacity,
                "the service of the route is not declared");
  }
  const Result<void> crashes = this->CheckCrashes(request);
  if (!crashes) {
    return tl::unexpected(crashes.error());
  }
  const Micros timeout = request.info.timeout.value_or(kDefaultTimeout);
  request.deadline =
      request.message.readAt + std::min(timeout, request.route->timeout);
  if (this->context.stopPolicy.IsStopping() && !this->AcceptsInStop(request)) {
    return Fail(ErrorKind::Stopping,
                "the request could not complete before the stop");
  }
  return request;
}

bool Relay::AcceptsInStop(const AdmittedRequest& aRequest) const {
  const StopPolicy& stop = this->context.stopPolicy;
  const Instant now = this->context.clock.Now();
  const StopDecision decision =
      stop.Decide(this->ExpectedOf(aRequest, now), now);
  LogInfo("stop_decision", {{"request", aRequest.info.id},
                            {"route", aRequest.route->name},
                            {"accepted", decision.isAccepted},
                            {"basis", NameIn(kStopBasisNames, decision.basis)},
                            {"since_stop_ms", *stop.SinceSignal(now) / 1ms},
                            {"left_ms", stop.TimeLeft(now) / 1ms},
                            {"expected_ms", decision.expected / 1ms}});
  return decision.isAccepted;
}

}  // namespace zincstep
