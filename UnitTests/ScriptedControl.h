#pragma once

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <string>
#include <vector>

#include "Zincstep/Pool/Pool.h"

namespace zincstep {

/// Control calls whose replies are given by a test.
class ScriptedControl final : public UpstreamControl {
 public:
  void ProbeConnection(const UpstreamEntry& aUpstream, Micros,
                       std::function<void(Reachability)> aDone) override {
    this->connected.push_back(aUpstream.id);
    this->pendingConnects.push_back(std::move(aDone));
  }
  void Report(const UpstreamEntry& aUpstream, Micros,
              Done<UpstreamReport> aDone) override {
    this->probed.push_back(aUpstream.id);
    this->pendingReports.push_back(std::move(aDone));
  }
  void Place(const UpstreamEntry& aUpstream, LayerRange, std::uint64_t,
             ReleaseMode, Done<OrderOutcome> aDone) override {
    this->places.push_back(aUpstream.id);
    this->pendingOrders.push_back(std::move(aDone));
  }
  void Reroute(const std::string&, const PoolChain&,
               Done<OrderOutcome>) override {}

  void Answer(double aSlowdown) {
    UpstreamReport report;
    report.slowdown = aSlowdown;
    this->Finish(report);
  }
  void Answer(const UpstreamReport& aReport) { this->Finish(aReport); }
  void TimeOutReport() { this->FailReport(ErrorKind::DeadlineDuringRun); }
  void FailReport(ErrorKind aKind) { this->Finish(Fail(aKind, "")); }

  /// Accepts the oldest pending order.
  void AcceptOrder() {
    CPPUNIT_ASSERT(!this->pendingOrders.empty());
    const auto done = std::move(this->pendingOrders.front());
    this->pendingOrders.pop_front();
    done(OrderOutcome{OrderStatus::Accepted, ""});
  }

  bool HasPendingConnect() const { return !this->pendingConnects.empty(); }
  /// Completes the oldest pending attempt to connect.
  void FinishConnect(Reachability aReachability) {
    CPPUNIT_ASSERT(!this->pendingConnects.empty());
    const auto done = std::move(this->pendingConnects.front());
    this->pendingConnects.pop_front();
    done(aReachability);
  }

  std::vector<std::string> probed;
  std::vector<std::string> connected;
  /// Ids of the upstreams that were ordered to hold layers.
  std::vector<std::string> places;

 private:
  void Finish(Result<UpstreamReport> aReport) {
    CPPUNIT_ASSERT(!this->pendingReports.empty());
    const auto done = std::move(this->pendingReports.front());
    this->pendingReports.pop_front();
    done(std::move(aReport));
  }

  std::deque<Done<UpstreamReport>> pendingReports;
  std::deque<Done<OrderOutcome>> pendingOrders;
  std::deque<std::function<void(Reachability)>> pendingConnects;
};

}  // namespace zincstep
