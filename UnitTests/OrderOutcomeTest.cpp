#include "UnitTests/RelayFixture.h"

namespace zincstep {
namespace {

/// Responses of upstreams to orders.
class OrderOutcomeTest : public RelayFixture {
  CPPUNIT_TEST_SUITE(OrderOutcomeTest);
  CPPUNIT_TEST(Refusal_WithAddress_NamesTheUpstreamAtFault);
  CPPUNIT_TEST(Refusal_WithoutUsableAddress_NamesNone);
  CPPUNIT_TEST_SUITE_END();

  OrderOutcome OutcomeOf(const std::string& aBody) {
    this->AddUpstream("model", [&aBody](const auto& aTo, const auto&) {
      aTo->Answer(409, {}, aBody);
    });
    PoolChain chain;
    chain.push_back({view.Directory().OfService("model").back(), {0, 2}});
    std::optional<Result<OrderOutcome>> outcome;
    control->Reroute("r1", chain, [&](const Result<OrderOutcome>& aOutcome) {
      outcome = aOutcome;
    });
    this->RunUntil([&] { return outcome.has_value(); });
    CPPUNIT_ASSERT(outcome->has_value());
    return **outcome;
  }

 public:
  void Refusal_WithAddress_NamesTheUpstreamAtFault() {
    const OrderOutcome outcome = this->OutcomeOf(R"({"address":"h:1"})");
    CPPUNIT_ASSERT(outcome.status == OrderStatus::Refused);
    CPPUNIT_ASSERT_EQUAL(std::string("h:1"), outcome.atFault);
  }

  // Guards against an exception that ended the process.
  void Refusal_WithoutUsableAddress_NamesNone() {
    for (const char* body : {R"({"address":null})", R"({"address":7})", "{}",
                             "[]", "null", "", "\xff"}) {
      const OrderOutcome outcome = this->OutcomeOf(body);
      CPPUNIT_ASSERT(outcome.status == OrderStatus::Refused);
      CPPUNIT_ASSERT_EQUAL(std::string(), outcome.atFault);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OrderOutcomeTest);

}  // namespace
}  // namespace zincstep
