#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <iostream>

#include "UnitTests/LocalDomain.h"

namespace zincstep {
namespace {

using Json = nlohmann::json;

class ControlTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ControlTest);
  CPPUNIT_TEST(Change_Accepted_IsActiveOnAllDaemons);
  CPPUNIT_TEST(Daemon_StartedInOutage_ServesAfterIt);
  CPPUNIT_TEST(Daemon_AloneInOutage_ReportsNotReady);
  CPPUNIT_TEST(Version_Changed_RollsAndServesThroughout);
  CPPUNIT_TEST(Daemons_ReplacedUnderLoad_RefuseNothing);
  CPPUNIT_TEST_SUITE_END();

  LocalDomain domain{{{"a1", {0, 12}}, {"a2", {0, 12}}, {"a3", {0, 12}}}};

  bool IsActive(const EntryDaemon& aDaemon, std::uint64_t aRevision) {
    const Json status = this->domain.Admin(aDaemon, "/v1/status");
    return status.is_object() && status.at("revision") == aRevision;
  }

  std::uint64_t ApplyChange() {
    this->domain.File() += "  # change\n";
    const std::size_t at = this->domain.File().find("max_tokens: 4");
    this->domain.File().replace(at, 15, "max_tokens: 410");
    return this->domain.Apply();
  }

 public:
  void Change_Accepted_IsActiveOnAllDaemons() {
    EntryDaemon& first = this->domain.AddDaemon("entry-1");
    EntryDaemon& second = this->domain.AddDaemon("entry-2");
    const std::uint64_t revision = this->ApplyChange();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, revision);
    CPPUNIT_ASSERT(LocalDomain::Eventually([&] {
      return this->IsActive(first, revision) &&
             this->IsActive(second, revision);
    }));
  }

  void Daemon_StartedInOutage_ServesAfterIt() {
    EntryDaemon& first = this->domain.AddDaemon("entry-1");
    // The daemon is started during the outage, with an ephemeral peer port.
    EntrySettings settings = this->domain.BaseSettings("entry-2", "hall-a");
    settings.peerListen = "127.0.0.1:0";
    auto second = std::make_unique<EntryDaemon>(settings);
    this->domain.PlatformFault(R"({"outage":true})");
    CPPUNIT_ASSERT(second->Start().has_value());
    this->domain.PlatformFault(R"({"outage":false})");
    CPPUNIT_ASSERT(
        LocalDomain::Eventually([&] { return this->IsActive(*second, 1); }));
    (void)first;
  }

  void Daemon_AloneInOutage_ReportsNotReady() {
    this->domain.PlatformFault(R"({"outage":true})");
    EntryDaemon daemon(this->domain.BaseSettings("entry-1", "hall-a"));
    CPPUNIT_ASSERT(daemon.Start().has_value());
    const auto result = this->domain.Complete(daemon, "x", 2);
    CPPUNIT_ASSERT_EQUAL(503, result.status);
    CPPUNIT_ASSERT(result.body.find("not_ready") != std::string::npos);
    CPPUNIT_ASSERT(result.body.find("not_run") != std::string::npos);
  }

  void Version_Changed_RollsAndServesThroughout() {
    EntryDaemon& daemon = this->domain.AddDaemon("entry-1");
    std::atomic<bool> stop{false};
    std::atomic<int> failures{0};
    std::thread load([&] {
      while (!stop) {
        const auto result = this->domain.Complete(daemon, "x", 4);
        if (result.status != 200) {
          failures += 1;
          std::cerr << result.status << " " << result.body << "\n";
        }
      }
    });
    std::string& file = this->domain.File();
    file.replace(file.find("serving: v1"), 11, "serving: v2");
    this->domain.Apply();
    const bool isRolledOut = LocalDomain::Eventually([&] {
      const Json views = this->domain.Admin(daemon, "/v1/upstreams");
      const auto& all = views.at("upstreams");
      return std::all_of(all.begin(), all.end(), [](const Json& aOne) {
        return aOne.at("version") == "v2";
      });
    });
    stop = true;
    load.join();
    CPPUNIT_ASSERT(isRolledOut);
    CPPUNIT_ASSERT_EQUAL(0, failures.load());
  }

  void Daemons_ReplacedUnderLoad_RefuseNothing() {
    this->domain.AddDaemon("entry-1");
    this->domain.AddDaemon("entry-2");
    std::atomic<bool> stop{false};
    std::atomic<int> failures{0};
    std::atomic<int> completed{0};
    std::atomic<EntryDaemon*> target{this->domain.Daemons()[1].get()};
    std::thread load([&] {
      while (!stop) {
        // The load balancer sends no new requests to a daemon that is not
        // ready.
        const auto result = this->domain.Complete(*target.load(), "x", 20);
        failures += result.status == 200 ? 0 : 1;
        completed += 1;
      }
    });
    EntryDaemon& first = *this->domain.Daemons()[0];
    first.RequestStop();
    first.Wait();
    EntryDaemon& third = this->domain.AddDaemon("entry-3");
    EntryDaemon& second = *this->domain.Daemons()[1];
    second.RequestStop();
    target = &third;
    second.Wait();
    CPPUNIT_ASSERT(LocalDomain::Eventually([&] { return completed > 5; }));
    stop = true;
    load.join();
    CPPUNIT_ASSERT_EQUAL(0, failures.load());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlTest);

}  // namespace
}  // namespace zincstep
