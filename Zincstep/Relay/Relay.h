#pragma once

/// \file
/// Public header of the relay library, which forwards callers' requests to
/// upstreams and their responses back to the callers.

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "Zincstep/Relay/EventSplitter.h"
#include "Zincstep/Relay/Exchange.h"
#include "Zincstep/Relay/RelayContext.h"
#include "Zincstep/Relay/RelayDialect.h"

namespace zincstep {

/// Admits requests and runs each as an exchange until its final response.
class Relay final : public CallerHandler {
 public:
  explicit Relay(RelayContext aContext)
      : context(std::move(aContext)),
        capacity(this->context, [this] { this->ScheduleStarts(); }) {
    this->context.capacity = &this->capacity;
    this->context.handOver = [this](const AdmittedRequest& aRequest,
                                    const ExchangeProgress& aProgress) {
      this->ForwardToDaemon(aRequest, aProgress);
    };
  }
  /// Sets what is called before each request is decided on.
  void SetOnArrival(std::function<void()> aOnArrival) {
    this->onArrival = std::move(aOnArrival);
  }
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  void OnRequest(const std::shared_ptr<CallerConnection>& aConnection,
                 CallerMessage aMessage) override;
  void OnCallerDisconnected(CallerConnection& aConnection) override;
  /// Handles the requests that other daemons forward here.
  CallerHandler& ForwardedRequests() { return this->forwardedRequests; }
  /// Checks all timeouts; call several times per second.
  void Tick();

  /// Posts a `Tick` to the loop; for changes of the known cluster state.
  void ScheduleTick();
  /// Posts a pass of starts of waiting requests to the loop; for events that
  /// may have freed room.
  void ScheduleStarts();
  /// Order of requests while room is scarce.
  CapacityScheduler& Capacity() { return this->capacity; }
  /// Abandons the exchanges of a request that is blocked because it crashes
  /// upstreams.
  void OnBlocked(Fingerprint aBlocked);
  /// Bytes of long response bodies that are not complete yet.
  std::size_t BufferedResponseBytes() const {
    return this->context.responseBytes->UsedBytes();
  }
  /// Number of exchanges and deferred requests that have not ended.
  std::size_t Active() const {
    return this->exchanges.size() + this->deferred.size() + this->handingOver;
  }

 private:
  /// Passes requests from other daemons to the relay.
  class ForwardedHandler final : public CallerHandler {
   public:
    explicit ForwardedHandler(Relay& aRelay) : relay(aRelay) {}

    void OnRequest(const std::shared_ptr<CallerConnection>& aConnection,
                   CallerMessage aMessage) override;
    void OnCallerDisconnected(CallerConnection& aConnection) override {
      this->relay.OnCallerDisconnected(aConnection);
    }

   private:
    Relay& relay;
  };

  /// What another daemon states of a request that it forwards.
  struct ForwardStatement {
    /// Runs that may have begun.
    int runs = 0;
    /// Version of the configuration that admitted it; 0: not stated.
    std::uint64_t admittedVersion = 0;
  };
  /// A request before its admission.
  struct ArrivedRequest {
    std::shared_ptr<CallerConnection> connection;
    CallerMessage message;
    /// Set if another daemon forwarded it.
    std::optional<ForwardStatement> forward;
  };
  using Tables = std::vector<std::shared_ptr<const RouteTable>>;

  void OnArrived(ArrivedRequest aRequest);
  /// What is known of the time that the request takes; for a stopping daemon.
  ExpectedDuration ExpectedOf(const AdmittedRequest& aRequest,
                              Instant aNow) const;
  Result<AdmittedRequest> Admit(ArrivedRequest aRequest) const;
  /// Returns the configurations by which a request may be admitted, the active
  /// one first; others only for one that a daemon admitted before a key or a
  /// route was removed, while daemons that have not noticed may use these.
  /// `aAdmittedVersion`: the version by which that daemon did; 0: none.
  Tables TablesFor(std::uint64_t aAdmittedVersion) const;
  /// Whether the active configuration is too old to refuse the request for
  /// good.
  bool MayBeOutdated(std::uint64_t aAdmittedVersion) const;
  /// Whether a stopping daemon accepts the request; logs the decision.
  bool AcceptsInStop(const AdmittedRequest& aRequest) const;
  /// Continues a request through another daemon in the next turn of the loop,
  /// as its former exchange is still in use.
  void ForwardToDaemon(const AdmittedRequest& aRequest,
                       const ExchangeProgress& aProgress);
  Result<void> CheckKey(AdmittedRequest& aRequest, const Tables& aTables,
                        std::uint64_t aAdmittedVersion) const;
  Result<void> CheckCrashes(const AdmittedRequest& aRequest) const;
  /// `aIsForwarded`: another daemon forwarded the request.
  void RefuseUnadmitted(CallerConnection& aConnection, const std::string& aId,
                        const Error& aError, bool aIsForwarded);
  /// Counts the silent streams of each upstream, unless this daemon itself may
  /// be the cause.
  void CollectLossEvidence(Instant aNow);
  void QueryStalledUpstreams(Instant aNow);
  /// Starts waiting requests, after the streams that have begun and wait for a
  /// chain.
  void StartWaiting();
  /// Whether the request waits for this daemon's first configuration.
  bool MayDefer(const ArrivedRequest& aRequest, Instant aNow) const;
  /// Gives all requests their final response.
  void EndForExit();
  /// Admits the deferred requests once the daemon has started, or refuses
  /// them after `RelaySettings::initialStateTimeout`.
  void ProcessDeferred();

  RelayContext context;
  std::function<void()> onArrival;
  CapacityScheduler capacity;
  ForwardedHandler forwardedRequests{*this};
  /// Requests that arrived before this daemon's first configuration.
  std::vector<ArrivedRequest> deferred;
  /// Requests whose next exchange has not been started yet.
  std::size_t handingOver = 0;
  bool isTickScheduled = false;
  Instant lastTickAt{};
  bool areStartsScheduled = false;
  std::unordered_map<CallerConnection*, std::shared_ptr<Exchange>> exchanges;
  /// Time of the last query for stalled requests, by `LiveUpstream::Number`.
  std::unordered_map<std::uint64_t, Instant> lastQueriedAt;
};

}  // namespace zincstep
