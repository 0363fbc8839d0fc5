#include "Zincstep/Edge/PeerResponder.h"

namespace zincstep {

namespace {

constexpr double kBytesPerMbit = 125'000;
/// Share of the link for whole lists: requests need the rest.
constexpr double kListShare = 0.4;
/// For so long the lists may take that share in advance: those of a hundred
/// upstreams for thirty daemons that start together by 20 Mbit/s.
constexpr double kListBurstSeconds = 1;

std::size_t WholeBytes(const PackedList* aList) {
  return aList != nullptr && aList->isWhole ? aList->text->size() : 0;
}

}  // namespace

PeerResponder::PeerResponder(const ClusterView& aView, const Clock& aClock,
                             double aLinkMbps)
    : view(aView),
      clock(aClock),
      listBytes(aLinkMbps * kBytesPerMbit * kListShare,
                aLinkMbps * kBytesPerMbit * kListShare * kListBurstSeconds) {}

const PackedList* PeerResponder::Pack(PackedLists& aLists, StoreRevision aSince,
                                      StoreRevision aAt,
                                      std::optional<ListUpdate>& aList) {
  if (const PackedList* packed = aLists.Find(aSince, aAt)) {
    return packed;
  }
  if (!aList || !PackedLists::IsLong(*aList)) {
    return nullptr;
  }
  const PackedList* packed = &aLists.Add(aSince, *aList);
  aList.reset();
  return packed;
}

bool PeerResponder::MaySpend(std::size_t aBytes) {
  if (aBytes > 0 && this->listBytes.At(this->clock.Now()) <= 0) {
    return false;
  }
  this->listBytes.Spend(static_cast<double>(aBytes));
  return true;
}

ClusterGive PeerResponder::To(const ClusterWant& aWant, std::uint64_t aEra) {
  // The copy need not hold what is packed already.
  KnownRevisions known = aWant.known;
  const StoreRevision upstreamsAt = this->view.UpstreamsAt();
  const StoreRevision daemonsAt = this->view.DaemonsAt();
  if (this->upstreams.Find(known.upstreams, upstreamsAt) != nullptr) {
    known.upstreams = upstreamsAt;
  }
  if (this->daemons.Find(known.daemons, daemonsAt) != nullptr) {
    known.daemons = daemonsAt;
  }
  const bool lacksConfig = this->view.LacksConfigText(known);
  if (lacksConfig) {
    known.config = this->view.ConfigStoreRevision();
    known.configVersion = this->view.ConfigVersion();
  }
  ClusterGive give;
  give.era = aEra;
  give.question = aWant.question;
  give.copy = this->view.UpdateFor(known);
  if (lacksConfig) {
    give.packedConfig = this->config.Of(this->view);
  }
  const PackedList* changedUpstreams = this->Pack(
      this->upstreams, aWant.known.upstreams, upstreamsAt, give.copy.upstreams);
  const PackedList* changedDaemons = this->Pack(
      this->daemons, aWant.known.daemons, daemonsAt, give.copy.daemons);
  if (!this->MaySpend(WholeBytes(changedUpstreams) +
                      WholeBytes(changedDaemons))) {
    give.copy.upstreams.reset();
    give.copy.daemons.reset();
    give.copy.listsAge.reset();
    return give;
  }
  if (changedUpstreams != nullptr) {
    give.packedUpstreams = changedUpstreams->text;
    give.packedGrace = this->view.ReturnGrace();
  }
  if (changedDaemons != nullptr) {
    give.packedDaemons = changedDaemons->text;
  }
  return give;
}

std::size_t PeerResponder::Bytes() const {
  return this->config.Bytes() + this->upstreams.Bytes() + this->daemons.Bytes();
}

}  // namespace zincstep
