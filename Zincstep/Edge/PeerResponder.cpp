#include "Zincstep/Edge/PeerResponder.h"

namespace zincstep {

namespace {

constexpr double kBytesPerMbit = 125'000;
/// Share of the link for full lists: requests need the rest.
constexpr double kListLinkShare = 0.4;
/// Burst of the full lists, in seconds of their share of the link: enough for
/// the lists of a hundred upstreams for thirty daemons that start together, at
/// 20 Mbit/s.
constexpr double kListBurstSeconds = 1;

std::size_t FullListBytes(const PackedList* aList) {
  return aList != nullptr && aList->isFull ? aList->bytes->size() : 0;
}

}  // namespace

PeerResponder::PeerResponder(const ClusterView& aView, const Clock& aClock,
                             double aLinkMbps)
    : view(aView),
      clock(aClock),
      listBudget(
          aLinkMbps * kBytesPerMbit * kListLinkShare,
          aLinkMbps * kBytesPerMbit * kListLinkShare * kListBurstSeconds) {}

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

bool PeerResponder::TryReserve(std::size_t aBytes) {
  if (aBytes > 0 && this->listBudget.At(this->clock.Now()) <= 0) {
    return false;
  }
  this->listBudget.Spend(static_cast<double>(aBytes));
  return true;
}

ClusterResponse PeerResponder::Respond(const ClusterQuery& aQuery,
                                       std::uint64_t aEra) {
  // The update need not contain what is cached in packed form.
  KnownRevisions known = aQuery.known;
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
  ClusterResponse response;
  response.era = aEra;
  response.queryId = aQuery.queryId;
  response.update = this->view.UpdateFor(known);
  if (lacksConfig) {
    response.packedConfig = this->config.Get(this->view);
  }
  const PackedList* changedUpstreams =
      this->Pack(this->upstreams, aQuery.known.upstreams, upstreamsAt,
                 response.update.upstreams);
  const PackedList* changedDaemons = this->Pack(
      this->daemons, aQuery.known.daemons, daemonsAt, response.update.daemons);
  if (!this->TryReserve(FullListBytes(changedUpstreams) +
                        FullListBytes(changedDaemons))) {
    response.update.upstreams.reset();
    response.update.daemons.reset();
    response.update.listsAge.reset();
    return response;
  }
  if (changedUpstreams != nullptr) {
    response.packedUpstreams = changedUpstreams->bytes;
    response.packedGrace = this->view.RemainingGrace();
  }
  if (changedDaemons != nullptr) {
    response.packedDaemons = changedDaemons->bytes;
  }
  return response;
}

std::size_t PeerResponder::Bytes() const {
  return this->config.Bytes() + this->upstreams.Bytes() + this->daemons.Bytes();
}

}  // namespace zincstep
