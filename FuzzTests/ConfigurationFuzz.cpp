#include "Zincstep/Config/Config.h"

/// Parsing any file terminates, and a valid configuration is unchanged after it
/// was split into pieces and joined again.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData,
                                      std::size_t aSize) {
  const std::string text(reinterpret_cast<const char*>(aData), aSize);
  if (zincstep::ParseConfiguration(text).IsValid()) {
    const auto pieces = zincstep::SplitConfiguration(text);
    const auto joined = zincstep::JoinConfiguration(pieces);
    ZINCSTEP_ASSERT(joined.has_value());
    ZINCSTEP_ASSERT(zincstep::SplitConfiguration(*joined).Digest() ==
                    pieces.Digest());
  }
  return 0;
}
