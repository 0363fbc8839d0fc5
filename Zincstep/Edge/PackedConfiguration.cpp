#include "Zincstep/Edge/PackedConfiguration.h"

#include "Zincstep/Edge/EdgePeerMessage.h"

namespace zincstep {

SharedBytes PackedConfiguration::Get(const ClusterView& aView) {
  const bool isCurrent = this->bytes &&
                         this->revision == aView.ConfigStoreRevision() &&
                         this->version == aView.ConfigVersion();
  if (!isCurrent) {
    this->revision = aView.ConfigStoreRevision();
    this->version = aView.ConfigVersion();
    this->bytes =
        std::make_shared<const std::string>(PackText(aView.ConfigText()));
  }
  return this->bytes;
}

}  // namespace zincstep
