#include "Zincstep/Peer/Peer.h"

/// Any data from a peer is either rejected or parsed, and a parsed message can
/// be encoded and parsed again.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData,
                                      std::size_t aSize) {
  const std::string_view bytes(reinterpret_cast<const char*>(aData), aSize);
  const auto message = zincstep::ReadPeerMessage(bytes);
  if (message) {
    ZINCSTEP_ASSERT(
        zincstep::ReadPeerMessage(zincstep::WritePeerMessage(*message))
            .has_value());
  }
  return 0;
}
