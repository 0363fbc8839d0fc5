#include "Zincstep/Engine/Engine.h"

/// Any data from an engine is either rejected or parsed.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData,
                                      std::size_t aSize) {
  const std::string_view text(reinterpret_cast<const char*>(aData), aSize);
  (void)zincstep::ReadLine(text);
  (void)zincstep::ReadLoad(text);
  (void)zincstep::ReadProgress(text);
  (void)zincstep::ReadAttempt(text);
  return 0;
}
