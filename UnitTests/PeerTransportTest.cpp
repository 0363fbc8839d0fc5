#include <cppunit/extensions/HelperMacros.h>

#include <asio.hpp>
#include <atomic>
#include <functional>
#include <thread>

#include "Zincstep/Peer/Peer.h"

namespace zincstep {
namespace {

using Tcp = asio::ip::tcp;

/// Counts received messages; the test reports their consumption.
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
  CPPUNIT_TEST(Send_SharedBytes_FollowTheHead);
  CPPUNIT_TEST(Send_SharedBytesToSeveralPeers_CountOnce);
  CPPUNIT_TEST(Send_PeerThatDoesNotRead_DropsItsQueue);
  CPPUNIT_TEST(Send_OtherPeerDoesNotRead_Arrives);
  CPPUNIT_TEST(Receive_ListenerDoesNotConsume_StopsReading);
  CPPUNIT_TEST(Receive_AfterConsumption_Continues);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::size_t kMaxBytes = 1 << 20;

  asio::io_context unreadLoop;
  CountingListener listener;
  CountingListener readerListener;
  std::unique_ptr<PeerTransport> transport;
  std::unique_ptr<PeerTransport> reader;
  std::vector<std::unique_ptr<Tcp::acceptor>> unresponsivePeers;

  static std::string AddressOf(const PeerTransport& aTransport) {
    return "127.0.0.1:" + std::to_string(aTransport.Port());
  }

  /// Returns the address of a new peer that accepts connections but never
  /// reads.
  std::string AddUnresponsivePeer() {
    constexpr int kReceiveBufferBytes = 4096;
    auto acceptor = std::make_unique<Tcp::acceptor>(unreadLoop, Tcp::v4());
    acceptor->set_option(
        asio::socket_base::receive_buffer_size(kReceiveBufferBytes));
    acceptor->bind({asio::ip::address_v4::loopback(), 0});
    acceptor->listen();
    unresponsivePeers.push_back(std::move(acceptor));
    return "127.0.0.1:" +
           std::to_string(unresponsivePeers.back()->local_endpoint().port());
  }

  static void WaitFor(const std::function<bool()>& aCondition) {
    while (!aCondition()) {
      std::this_thread::yield();
    }
  }

  static PeerFrame FrameOfSize(std::size_t aSize) {
    return {std::string(aSize, 'x'), {}};
  }

 public:
  void setUp() override {
    PeerTransportSettings settings;
    settings.maxTotalQueuedBytes = kMaxBytes;
    settings.maxUnconsumedBytes = kMaxBytes;
    transport = MakePeerTransport(settings, listener);
    reader = MakePeerTransport(settings, readerListener);
    CPPUNIT_ASSERT(transport->Start().has_value());
    CPPUNIT_ASSERT(reader->Start().has_value());
  }

  void tearDown() override {
    transport->Stop();
    reader->Stop();
  }

  void Send_SharedBytes_FollowTheHead() {
    const auto shared = std::make_shared<const std::string>("shared");
    transport->Send(AddressOf(*reader), PeerFrame{"head", {shared, shared}});
    WaitFor([this] { return readerListener.messages == 1; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{16}, readerListener.bytes.load());
  }

  void Send_SharedBytesToSeveralPeers_CountOnce() {
    constexpr std::size_t kSize = 400'000;
    constexpr int kPeers = 30;
    const auto shared =
        std::make_shared<const std::string>(std::string(kSize, 'x'));
    std::size_t maxQueued = 0;
    for (int i = 0; i < kPeers; ++i) {
      transport->Send(this->AddUnresponsivePeer(), PeerFrame{"head", {shared}});
      maxQueued = std::max<std::size_t>(maxQueued,
                                        transport->Traffic().totalQueuedBytes);
    }
    CPPUNIT_ASSERT(maxQueued <= kSize + 4 * kPeers);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, transport->Traffic().dropped);
  }

  void Send_PeerThatDoesNotRead_DropsItsQueue() {
    const std::string peer = this->AddUnresponsivePeer();
    constexpr std::size_t kSize = 100'000;
    std::size_t maxQueued = 0;
    for (int i = 0; i < 400; ++i) {
      transport->Send(peer, FrameOfSize(kSize));
      maxQueued = std::max<std::size_t>(maxQueued,
                                        transport->Traffic().totalQueuedBytes);
    }
    WaitFor([this] { return transport->Traffic().dropped > 0; });
    CPPUNIT_ASSERT(maxQueued <= kMaxBytes);
  }

  void Send_OtherPeerDoesNotRead_Arrives() {
    const std::string peer = this->AddUnresponsivePeer();
    for (int i = 0; i < 400; ++i) {
      transport->Send(peer, FrameOfSize(100'000));
    }
    transport->Send(AddressOf(*reader), FrameOfSize(100));
    WaitFor([this] { return readerListener.messages == 1; });
    CPPUNIT_ASSERT(transport->Traffic().totalQueuedBytes <= kMaxBytes);
  }

  void Receive_ListenerDoesNotConsume_StopsReading() {
    constexpr std::size_t kSize = 100'000;
    for (int i = 0; i < 400; ++i) {
      reader->Send(AddressOf(*transport), FrameOfSize(kSize));
    }
    // The sender drops its queue at its own limit, so fewer bytes than the
    // receiver's limit may arrive; more are sent until that is exceeded.
    WaitFor([this] {
      if (reader->Traffic().totalQueuedBytes == 0) {
        reader->Send(AddressOf(*transport), FrameOfSize(kSize));
      }
      return listener.bytes > kMaxBytes;
    });
    // One message may be in flight when the limit is reached.
    CPPUNIT_ASSERT(transport->Traffic().unconsumedBytes <=
                   kMaxBytes + 2 * kSize);
  }

  void Receive_AfterConsumption_Continues() {
    this->Receive_ListenerDoesNotConsume_StopsReading();
    const std::size_t bytesBefore = listener.bytes;
    transport->OnConsumed(transport->Traffic().unconsumedBytes);
    reader->Send(AddressOf(*transport), FrameOfSize(100));
    WaitFor([&] { return listener.bytes > bytesBefore; });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerTransportTest);

}  // namespace
}  // namespace zincstep
