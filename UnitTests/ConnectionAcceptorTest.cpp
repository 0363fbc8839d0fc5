#include <cppunit/extensions/HelperMacros.h>
#include <sys/resource.h>

#include <new>

#include "Zincstep/Net/ConnectionAcceptor.h"

namespace zincstep {
namespace {

using Tcp = asio::ip::tcp;

class ConnectionAcceptorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConnectionAcceptorTest);
  CPPUNIT_TEST(Accept_NoDescriptorLeft_IsNotRepeatedAtOnce);
  CPPUNIT_TEST(Accept_DescriptorReturned_Resumes);
  CPPUNIT_TEST(Accept_CallbackThrows_Continues);
  CPPUNIT_TEST_SUITE_END();

  asio::io_context loop;
  std::vector<Tcp::socket> accepted;
  bool lacksMemory = false;
  ConnectionAcceptor acceptor{loop, [this](Tcp::socket aSocket) {
                                if (lacksMemory) {
                                  throw std::bad_alloc();
                                }
                                accepted.push_back(std::move(aSocket));
                              }};
  std::vector<Tcp::socket> callers;
  rlimit before{};

  void Connect() {
    callers.emplace_back(loop).connect(
        {asio::ip::address_v4::loopback(), acceptor.Port()});
  }

  /// Leaves no descriptor for this process.
  static void LimitDescriptors(rlim_t aHardLimit) {
    const rlimit none{0, aHardLimit};
    ::setrlimit(RLIMIT_NOFILE, &none);
  }

 public:
  void setUp() override {
    ::getrlimit(RLIMIT_NOFILE, &before);
    CPPUNIT_ASSERT(acceptor.Start("127.0.0.1:0").has_value());
    this->Connect();
  }

  void tearDown() override { ::setrlimit(RLIMIT_NOFILE, &before); }

  // Guards against a thread that accepts at full speed and in vain.
  void Accept_NoDescriptorLeft_IsNotRepeatedAtOnce() {
    constexpr int kManyTurns = 10'000;
    LimitDescriptors(before.rlim_max);
    loop.run_one();
    int turns = 0;
    while (turns < kManyTurns && loop.poll_one() > 0) {
      turns += 1;
    }
    CPPUNIT_ASSERT(turns < kManyTurns);
    CPPUNIT_ASSERT(accepted.empty());
  }

  void Accept_DescriptorReturned_Resumes() {
    LimitDescriptors(before.rlim_max);
    loop.run_one();
    ::setrlimit(RLIMIT_NOFILE, &before);
    while (accepted.empty()) {
      loop.run_one();
    }
  }

  void Accept_CallbackThrows_Continues() {
    lacksMemory = true;
    CPPUNIT_ASSERT_THROW(loop.run_one(), std::bad_alloc);
    lacksMemory = false;
    this->Connect();
    while (accepted.empty()) {
      CPPUNIT_ASSERT(loop.run_one() == 1);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionAcceptorTest);

}  // namespace
}  // namespace zincstep
