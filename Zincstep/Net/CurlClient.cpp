#include <atomic>
#include <thread>
#include <unordered_map>

#include "Zincstep/Net/CurlTransfer.h"
#include "Zincstep/Net/HttpClient.h"

namespace zincstep {

namespace {

constexpr std::size_t kOrderRing = 1 << 14;
constexpr int kPollMillis = 1000;
constexpr long kIdleConnections = 512;

/// A wish of another thread: to start a call, or to cancel one.
struct Order {
  CallId id = 0;
  bool cancel = false;
  HttpCall call;
  HttpCallListener* listener = nullptr;
};

/// A call under way.
struct Running {
  std::unique_ptr<CurlTransfer> transfer;
  HttpCallListener* listener = nullptr;
};

/// Client with one thread round one multi handle.
class CurlClient final : public HttpClient {
 public:
  CurlClient() : multi(curl_multi_init()), orders(kOrderRing, this->doorbell) {
    ZINCSTEP_ASSERT(this->multi != nullptr);
    curl_multi_setopt(this->multi, CURLMOPT_MAXCONNECTS, kIdleConnections);
    this->thread = std::thread([this] { this->Loop(); });
  }

  ~CurlClient() override {
    this->stopping = true;
    curl_multi_wakeup(this->multi);
    this->thread.join();
    for (auto& [id, running] : this->calls) {
      curl_multi_remove_handle(this->multi, running.transfer->Handle());
    }
    this->calls.clear();
    curl_multi_cleanup(this->multi);
  }

  CallId Start(HttpCall aCall, HttpCallListener& aListener) override {
    const CallId id = ++this->lastCall;
    Order order;
    order.id = id;
    order.call = std::move(aCall);
    order.listener = &aListener;
    this->Send(order);
    return id;
  }

  void Cancel(CallId aCall) override {
    Order order;
    order.id = aCall;
    order.cancel = true;
    this->Send(order);
  }

 private:
  void Send(const Order& aOrder) {
    while (!this->orders.Push(aOrder)) {
      std::this_thread::yield();
    }
    curl_multi_wakeup(this->multi);
  }

  void Loop() {
    while (!this->stopping) {
      this->TakeOrders();
      int running = 0;
      curl_multi_perform(this->multi, &running);
      this->TakeEnds();
      curl_multi_poll(this->multi, nullptr, 0, kPollMillis, nullptr);
    }
  }

  void TakeOrders() {
    while (const auto order = this->orders.Pop()) {
      if (order->cancel) {
        this->CancelNow(order->id);
      } else {
        this->StartNow(std::move(*order));
      }
    }
  }

  void StartNow(Order aOrder) {
    HttpCallListener* listener = aOrder.listener;
    const CallId id = aOrder.id;
    auto transfer = std::make_unique<CurlTransfer>(
        std::move(aOrder.call), [listener, id](std::string aPart) {
          listener->OnCallData(id, std::move(aPart));
        });
    CURL* easy = transfer->Handle();
    this->calls[id] = Running{std::move(transfer), listener};
    this->byHandle[easy] = id;
    curl_multi_add_handle(this->multi, easy);
  }

  void CancelNow(CallId aCall) {
    const auto found = this->calls.find(aCall);
    if (found == this->calls.end()) {
      return;
    }
    HttpCallResult result;
    result.end = CallEnd::Cancelled;
    this->End(found->second.transfer->Handle(), std::move(result));
  }

  void TakeEnds() {
    int left = 0;
    while (const CURLMsg* message = curl_multi_info_read(this->multi, &left)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      CURL* easy = message->easy_handle;
      const CURLcode code = message->data.result;
      const CallId id = this->byHandle.at(easy);
      this->End(easy, this->calls.at(id).transfer->Finish(code));
    }
  }

  void End(CURL* aHandle, HttpCallResult aResult) {
    const CallId id = this->byHandle.at(aHandle);
    curl_multi_remove_handle(this->multi, aHandle);
    HttpCallListener* listener = this->calls.at(id).listener;
    this->byHandle.erase(aHandle);
    this->calls.erase(id);
    listener->OnCallEnd(id, std::move(aResult));
  }

  CURLM* multi;
  WakeEvent doorbell;
  Channel<Order> orders;
  std::atomic<CallId> lastCall{0};
  std::atomic<bool> stopping{false};
  std::unordered_map<CallId, Running> calls;
  std::unordered_map<CURL*, CallId> byHandle;
  std::thread thread;
};

}  // namespace

std::unique_ptr<HttpClient> MakeHttpClient() {
  return std::make_unique<CurlClient>();
}

}  // namespace zincstep
