#include "Zincstep/Edge/ConfigurationThread.h"

#include "Zincstep/Process/Process.h"

namespace zincstep {

namespace {

/// Maximum number of queued builds; `ConfigurationState` starts one at a time.
constexpr std::size_t kMaxQueuedBuilds = 4;

}  // namespace

ConfigurationThread::ConfigurationThread(asio::io_context& aLoop,
                                         const ClusterDecoder& aDecoder)
    : loop(aLoop),
      decoder(aDecoder),
      thread(kMaxQueuedBuilds,
             [this](Work aWork) { this->Run(std::move(aWork)); }) {}

void ConfigurationThread::Start(std::shared_ptr<const std::string> aText,
                                DecodedConfiguration aFormer, Done aDone) {
  if (!this->thread.Push({std::move(aText), std::move(aFormer), aDone})) {
    asio::post(this->loop, [done = std::move(aDone)] {
      done(Fail(ErrorKind::NotReady, "too many queued builds"));
    });
  }
}

void ConfigurationThread::Run(Work aWork) {
  // An exception is a lack of memory: the text is decoded when it is found
  // again.
  Result<std::shared_ptr<const RouteTable>> table =
      Fail(ErrorKind::NotReady, "decoding ended by an exception");
  RunGuarded("configurations", [&] {
    table = BuildRouteTable(this->decoder, *aWork.text, aWork.former);
  });
  asio::post(this->loop, [done = std::move(aWork.done),
                          result = std::move(table)]() mutable {
    done(std::move(result));
  });
}

}  // namespace zincstep
