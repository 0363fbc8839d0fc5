#include <atomic>
#include <thread>
#include <unordered_map>

#include "Zincstep/Net/CurlTransfer.h"
#include "Zincstep/Net/HttpClient.h"

namespace zincstep {

namespace {

constexpr std::size_t kCommandCapacity = 1 << 14;
constexpr int kMaxPollMillis = 1000;
constexpr long kMaxIdleConnections = 512;

/// Command from another thread: starts or cancels a call.
struct Command {
  CallId id = 0;
  bool isCancel = false;
  HttpCall call;
  HttpCallListener* listener = nullptr;
};

/// A call in progress.
struct RunningCall {
  std::unique_ptr<CurlTransfer> transfer;
  HttpCallListener* listener = nullptr;
};

/// Client with one multi handle, owned by one thread.
class CurlClient final : public HttpClient {
 public:
  explicit CurlClient(std::shared_ptr<ByteBudget> aBudget)
      : budget(std::move(aBudget)),
        multi(curl_multi_init()),
        commands(kCommandCapacity, this->wakeEvent) {
    ZINCSTEP_ASSERT(this->multi != nullptr);
    curl_multi_setopt(this->multi, CURLMOPT_MAXCONNECTS, kMaxIdleConnections);
    this->thread = std::thread([this] { this->RunLoop(); });
  }

  ~CurlClient() override {
    this->isStopping = true;
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
    Command command;
    command.id = id;
    command.call = std::move(aCall);
    command.listener = &aListener;
    this->PushCommand(command);
    return id;
  }

  void Cancel(CallId aCall) override {
    Command command;
    command.id = aCall;
    command.isCancel = true;
    this->PushCommand(command);
  }

 private:
  void PushCommand(const Command& aCommand) {
    while (!this->commands.Push(aCommand)) {
      std::this_thread::yield();
    }
    curl_multi_wakeup(this->multi);
  }

  void RunLoop() {
    while (!this->isStopping) {
      this->RunCommands();
      int runningCount = 0;
      curl_multi_perform(this->multi, &runningCount);
      this->CollectFinished();
      curl_multi_poll(this->multi, nullptr, 0, kMaxPollMillis, nullptr);
    }
  }

  void RunCommands() {
    while (const auto command = this->commands.Pop()) {
      if (command->isCancel) {
        this->CancelCall(command->id);
      } else {
        this->StartCall(std::move(*command));
      }
    }
  }

  void StartCall(Command aCommand) {
    HttpCallListener* listener = aCommand.listener;
    const CallId id = aCommand.id;
    auto transfer = std::make_unique<CurlTransfer>(
        std::move(aCommand.call),
        [listener, id](std::string aPart) {
          return listener->OnCallData(id, std::move(aPart));
        },
        this->budget);
    CURL* easy = transfer->Handle();
    this->calls[id] = RunningCall{std::move(transfer), listener};
    this->byHandle[easy] = id;
    curl_multi_add_handle(this->multi, easy);
  }

  void CancelCall(CallId aCall) {
    const auto found = this->calls.find(aCall);
    if (found == this->calls.end()) {
      return;
    }
    HttpCallResult result;
    result.end = CallEnd::Cancelled;
    this->FinishCall(found->second.transfer->Handle(), std::move(result));
  }

  void CollectFinished() {
    int remaining = 0;
    while (const CURLMsg* message =
               curl_multi_info_read(this->multi, &remaining)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      CURL* easy = message->easy_handle;
      const CURLcode code = message->data.result;
      const CallId id = this->byHandle.at(easy);
      this->FinishCall(easy, this->calls.at(id).transfer->Finish(code));
    }
  }

  void FinishCall(CURL* aHandle, HttpCallResult aResult) {
    const CallId id = this->byHandle.at(aHandle);
    curl_multi_remove_handle(this->multi, aHandle);
    HttpCallListener* listener = this->calls.at(id).listener;
    this->byHandle.erase(aHandle);
    this->calls.erase(id);
    listener->OnCallEnd(id, std::move(aResult));
  }

  std::shared_ptr<ByteBudget> budget;
  CURLM* multi;
  WakeEvent wakeEvent;
  Channel<Command> commands;
  std::atomic<CallId> lastCall{0};
  std::atomic<bool> isStopping{false};
  std::unordered_map<CallId, RunningCall> calls;
  std::unordered_map<CURL*, CallId> byHandle;
  std::thread thread;
};

}  // namespace

std::unique_ptr<HttpClient> MakeHttpClient(
    std::shared_ptr<ByteBudget> aBudget) {
  return std::make_unique<CurlClient>(std::move(aBudget));
}

}  // namespace zincstep
