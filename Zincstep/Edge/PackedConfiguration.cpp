#include "Zincstep/Edge/PackedConfiguration.h"

#include "Zincstep/Edge/EdgePeerMessage.h"

namespace zincstep {

SharedBytes PackedConfiguration::Of(const ClusterView& aView) {
  const bool isKept = this->bytes &&
                      this->foundAt == aView.ConfigStoreRevision() &&
                      this->version == aView.ConfigVersion();
  if (!isKept) {
    this->foundAt = aView.ConfigStoreRevision();
    this->version = aView.ConfigVersion();
    this->bytes =
        std::make_shared<const std::string>(PackText(aView.ConfigText()));
  }
  return this->bytes;
}

}  // namespace zincstep
