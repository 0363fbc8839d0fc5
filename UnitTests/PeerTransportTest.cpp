#include <cppunit/extensions/HelperMacros.h>

#include <asio.hpp>
#include <atomic>
#include <functional>
#include <thread>

#include "Zincstep/Peer/Peer.h"

namespace zincstep {
namespace {

using Tcp = asio::ip::tcp;

/// Counts what comes, and takes it when the test says so.
class CountingListener final : public PeerListener {
 public:
  void OnPeerData(std::string aMessage) override {
    this->bytes += aMessage.size();
    this->messages += 1;
  }

  std::atomic<std::size_t> bytes{0};
  std::atomic<int> messages{0};
};

class PeerTransportTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerTransportTest);
  CPPUNIT_TEST(Send_SharedBytes_ComeBehindTheHead);
  CPPUNIT_TEST(Send_SharedBytesToSeveral_CountOnce);
  CPPUNIT_TEST(Send_PeerThatDoesNotRead_LosesWhatWaits);
  CPPUNIT_TEST(Send_BesideAPeerThatDoesNotRead_Arrives);
  CPPUNIT_TEST(Receive_ListenerThatDoesNotTake_IsHeldUp);
  CPPUNIT_TEST(Receive_OnceTaken_GoesOn);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::size_t kMost = 1 << 20;

  asio::io_context silent;
  CountingListener listener;
  CountingListener other;
  std::unique_ptr<PeerTransport> transport;
  std::unique_ptr<PeerTransport> reader;
  std::vector<std::unique_ptr<Tcp::acceptor>> silentPeers;

  static std::string AddressOf(const PeerTransport& aTransport) {
    return "127.0.0.1:" + std::to_string(aTransport.Port());
  }

  /// Address of a peer that takes connections and reads nothing.
  std::string SilentPeer() {
    constexpr int kSmallestBuffer = 4096;
    auto acceptor = std::make_unique<Tcp::acceptor>(silent, Tcp::v4());
    acceptor->set_option(
        asio::socket_base::receive_buffer_size(kSmallestBuffer));
    acceptor->bind({asio::ip::address_v4::loopback(), 0});
    acceptor->listen();
    silentPeers.push_back(std::move(acceptor));
    return "127.0.0.1:" +
           std::to_string(silentPeers.back()->local_endpoint().port());
  }

  static void WaitFor(const std::function<bool()>& aDone) {
    while (!aDone()) {
      std::this_thread::yield();
    }
  }

  static PeerFrame Text(std::size_t aSize) {
    return {std::string(aSize, 'x'), {}};
  }

 public:
  void setUp() override {
    PeerTransportSettings settings;
    settings.maxTotalQueuedBytes = kMost;
    settings.maxUnconsumedBytes = kMost;
    transport = MakePeerTransport(settings, listener);
    reader = MakePeerTransport(settings, other);
    CPPUNIT_ASSERT(transport->Start().has_value());
    CPPUNIT_ASSERT(reader->Start().has_value());
  }

  void tearDown() override {
    transport->Stop();
    reader->Stop();
  }

  void Send_SharedBytes_ComeBehindTheHead() {
    const auto shared = std::make_shared<const std::string>("shared");
    transport->Send(AddressOf(*reader), PeerFrame{"head", {shared, shared}});
    WaitFor([this] { return other.messages == 1; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{16}, other.bytes.load());
  }

  void Send_SharedBytesToSeveral_CountOnce() {
    constexpr std::size_t kSize = 400'000;
    constexpr int kPeers = 30;
    const auto shared =
        std::make_shared<const std::string>(std::string(kSize, 'x'));
    std::size_t most = 0;
    for (int i = 0; i < kPeers; ++i) {
      transport->Send(this->SilentPeer(), PeerFrame{"head", {shared}});
      most = std::max<std::size_t>(most, transport->Traffic().totalQueuedBytes);
    }
    CPPUNIT_ASSERT(most <= kSize + 4 * kPeers);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, transport->Traffic().dropped);
  }

  void Send_PeerThatDoesNotRead_LosesWhatWaits() {
    const std::string peer = this->SilentPeer();
    constexpr std::size_t kSize = 100'000;
    std::size_t most = 0;
    for (int i = 0; i < 400; ++i) {
      transport->Send(peer, Text(kSize));
      most = std::max<std::size_t>(most, transport->Traffic().totalQueuedBytes);
    }
    WaitFor([this] { return transport->Traffic().dropped > 0; });
    CPPUNIT_ASSERT(most <= kMost);
  }

  void Send_BesideAPeerThatDoesNotRead_Arrives() {
    const std::string peer = this->SilentPeer();
    for (int i = 0; i < 400; ++i) {
      transport->Send(peer, Text(100'000));
    }
    transport->Send(AddressOf(*reader), Text(100));
    WaitFor([this] { return other.messages == 1; });
    CPPUNIT_ASSERT(transport->Traffic().totalQueuedBytes <= kMost);
  }

  void Receive_ListenerThatDoesNotTake_IsHeldUp() {
    constexpr std::size_t kSize = 100'000;
    for (int i = 0; i < 400; ++i) {
      reader->Send(AddressOf(*transport), Text(kSize));
    }
    // The sender drops its queue at its own bound, so that fewer bytes than
    // the receiver's bound may arrive; more are sent until that is passed.
    WaitFor([this] {
      if (reader->Traffic().totalQueuedBytes == 0) {
        reader->Send(AddressOf(*transport), Text(kSize));
      }
      return listener.bytes > kMost;
    });
    // One message may be under way as the bound is reached.
    CPPUNIT_ASSERT(transport->Traffic().unconsumedBytes <= kMost + 2 * kSize);
  }

  void Receive_OnceTaken_GoesOn() {
    this->Receive_ListenerThatDoesNotTake_IsHeldUp();
    const std::size_t before = listener.bytes;
    transport->OnConsumed(transport->Traffic().unconsumedBytes);
    reader->Send(AddressOf(*transport), Text(100));
    WaitFor([&] { return listener.bytes > before; });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerTransportTest);

}  // namespace
}  // namespace zincstep
