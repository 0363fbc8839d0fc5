#include "Zincstep/Entry/CallerRequest.h"

/// Any body is either rejected or parsed as a request with a prompt.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData,
                                      std::size_t aSize) {
  const std::string body(reinterpret_cast<const char*>(aData), aSize);
  for (const bool isChat : {false, true}) {
    const auto request = zincstep::ReadCompletion(body, isChat);
    ZINCSTEP_ASSERT(!request || !request->prompt.empty());
  }
  zincstep::Random random(1);
  (void)zincstep::ReadTraceContext(body, random);
  return 0;
}
