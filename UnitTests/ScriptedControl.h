#pragma once

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <string>
#include <vector>

#include "Zincstep/Pool/Pool.h"

namespace zincstep {

/// Upstreams whose reports a test answers.
class ScriptedControl final : public UpstreamControl {
 public:
  void ProbeConnection(const UpstreamEntry& aUpstream, Micros,
                       std::function<void(Reachability)> aDone) override {
    this->reached.push_back(aUpstream.id);
    this->openReaches.push_back(std::move(aDone));
  }
  void Report(const UpstreamEntry& aUpstream, Micros,
              Done<UpstreamReport> aDone) override {
    this->asked.push_back(aUpstream.id);
    this->open.push_back(std::move(aDone));
  }
  void Place(const UpstreamEntry& aUpstream, LayerRange, std::uint64_t,
             ReleaseMode, Done<OrderOutcome> aDone) override {
    this->places.push_back(aUpstream.id);
    this->openPlaces.push_back(std::move(aDone));
  }
  void Reroute(const std::string&, const PoolChain&,
               Done<OrderOutcome>) override {}

  void Answer(double aPace) {
    UpstreamReport report;
    report.slowdown = aPace;
    this->Finish(report);
  }
  void Answer(const UpstreamReport& aReport) { this->Finish(aReport); }
  void TimeOutReport() { this->FailReport(ErrorKind::DeadlineDuringRun); }
  void FailReport(ErrorKind aKind) { this->Finish(Fail(aKind, "")); }

  /// The oldest open order is taken.
  void AcceptOrder() {
    CPPUNIT_ASSERT(!this->openPlaces.empty());
    const auto done = std::move(this->openPlaces.front());
    this->openPlaces.pop_front();
    done(OrderOutcome{OrderStatus::Accepted, ""});
  }

  bool HasPendingConnect() const { return !this->openReaches.empty(); }
  /// Ends the oldest open attempt to connect.
  void FinishConnect(Reachability aReachability) {
    CPPUNIT_ASSERT(!this->openReaches.empty());
    const auto done = std::move(this->openReaches.front());
    this->openReaches.pop_front();
    done(aReachability);
  }

  std::vector<std::string> asked;
  std::vector<std::string> reached;
  /// Upstreams that were ordered to hold layers.
  std::vector<std::string> places;

 private:
  void Finish(Result<UpstreamReport> aReport) {
    CPPUNIT_ASSERT(!this->open.empty());
    const auto done = std::move(this->open.front());
    this->open.pop_front();
    done(std::move(aReport));
  }

  std::deque<Done<UpstreamReport>> open;
  std::deque<Done<OrderOutcome>> openPlaces;
  std::deque<std::function<void(Reachability)>> openReaches;
};

}  // namespace zincstep
