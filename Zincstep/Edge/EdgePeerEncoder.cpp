/// \file
/// Encoding of messages between daemons.

#include <zlib.h>

#include <algorithm>
#include <cstring>
#include <limits>
#include <new>

#include "Zincstep/Edge/EdgePeerMessage.h"
#include "Zincstep/Edge/EdgePeerWire.h"
#include "Zincstep/Edge/Generated/EdgePeer_generated.h"

namespace zincstep {

namespace {

namespace fb = flatbuffers;

/// The fastest level of zlib. Entries shrink to an eighth at any level.
constexpr int kPackLevel = 1;

std::uint16_t EncodeSlowdown(double aSlowdown) {
  const double max = std::numeric_limits<std::uint16_t>::max();
  return static_cast<std::uint16_t>(
      std::min(max, aSlowdown / edgewire::kSlowdownStep));
}

std::uint16_t EncodeCount(std::int64_t aCount) {
  return static_cast<std::uint16_t>(std::clamp<std::int64_t>(
      aCount, 0, std::numeric_limits<std::uint16_t>::max()));
}

edgewire::UpstreamCrash WireCrash(const UpstreamCrash& aCrash) {
  return {static_cast<std::uint64_t>(aCrash.candidate), aCrash.upstream};
}

std::vector<edgewire::UpstreamCrash> WireCrashes(
    const std::vector<UpstreamCrash>& aCrashes) {
  std::vector<edgewire::UpstreamCrash> crashes;
  for (const UpstreamCrash& crash : aCrashes) {
    crashes.push_back(WireCrash(crash));
  }
  return crashes;
}

fb::Offset<edgewire::EntryList> WriteList(fb::FlatBufferBuilder& aBuilder,
                                          const ListUpdate& aList) {
  std::vector<fb::Offset<edgewire::Entry>> entries;
  for (const StoreItem& item : aList.items) {
    const auto id = aBuilder.CreateString(item.key);
    const auto value = aBuilder.CreateString(item.value);
    entries.push_back(
        edgewire::CreateEntry(aBuilder, id, value, item.revision.number));
  }
  const auto encoded = aBuilder.CreateVector(entries);
  const auto removed = aBuilder.CreateVectorOfStrings(aList.removed);
  return edgewire::CreateEntryList(aBuilder, aList.at.number, aList.isFull,
                                   encoded, removed, aList.grace.count(),
                                   aList.digest);
}

/// Returns null for an empty vector, so that it takes no bytes in the message.
template <class T>
const std::vector<T>* OrNull(const std::vector<T>& aVector) {
  return aVector.empty() ? nullptr : &aVector;
}

/// Encodes the body of a message; each overload returns the offset of its
/// table.
class BodyWriter {
 public:
  explicit BodyWriter(fb::FlatBufferBuilder& aBuilder) : builder(aBuilder) {}

  fb::Offset<void> operator()(const WorkGossip& aGossip) {
    std::vector<edgewire::UpstreamWork> works;
    works.reserve(aGossip.works.size());
    for (const UpstreamWork& work : aGossip.works) {
      works.emplace_back(work.upstream, static_cast<float>(work.work),
                         EncodeSlowdown(work.slowdown), work.isSuspect);
    }
    std::vector<edgewire::FirstStageWork> firstStages;
    for (const FirstStageWork& stage : aGossip.firstStages) {
      if (firstStages.size() == kMaxFirstStages) {
        break;
      }
      const std::uint16_t age =
          stage.age ? std::min<std::uint16_t>(EncodeCount(*stage.age / 1ms),
                                              edgewire::kNoLoadAge - 1)
                    : edgewire::kNoLoadAge;
      firstStages.emplace_back(stage.upstream, EncodeCount(stage.requests),
                               EncodeCount(stage.running),
                               EncodeCount(stage.queued), age);
    }
    std::vector<edgewire::PriorityDemand> demands;
    for (const PriorityDemand& demand : aGossip.demands) {
      if (demands.size() == kMaxPriorityDemands) {
        break;
      }
      demands.emplace_back(
          demand.service, static_cast<float>(demand.demand),
          static_cast<float>(demand.used), EncodeCount(demand.waiting),
          static_cast<std::uint8_t>(std::clamp(demand.priority, 0, 255)));
    }
    std::vector<edgewire::OrganisationDemand> organisations;
    for (const OrganisationDemand& demand : aGossip.organisations) {
      if (organisations.size() == kMaxOrganisationDemands) {
        break;
      }
      organisations.emplace_back(demand.organisation,
                                 static_cast<float>(demand.demand),
                                 static_cast<float>(demand.used));
    }
    return edgewire::CreateWorkGossipDirect(
               this->builder, &works, OrNull(firstStages), OrNull(demands),
               OrNull(organisations), aGossip.coversDomain)
        .Union();
  }

  fb::Offset<void> operator()(const ClusterQuery& aQuery) {
    const KnownRevisions& known = aQuery.known;
    return edgewire::CreateClusterWantDirect(
               this->builder, aQuery.queryId, known.config.number,
               known.upstreams.number, known.daemons.number, aQuery.era,
               known.configVersion, aQuery.failureDomain.c_str(),
               static_cast<float>(aQuery.linkMbps), aQuery.needsEntry,
               aQuery.requestsMembers)
        .Union();
  }

  fb::Offset<void> operator()(const ClusterResponse& aResponse) {
    const ClusterUpdate& update = aResponse.update;
    const auto upstreams = this->WriteList(update.upstreams);
    const auto daemons = this->WriteList(update.daemons);
    std::vector<fb::Offset<edgewire::Peer>> members;
    for (const PeerName& peer : aResponse.members) {
      members.push_back(edgewire::CreatePeerDirect(
          this->builder, peer.name.c_str(), peer.address.c_str(),
          static_cast<float>(peer.linkMbps)));
    }
    const auto encoded = this->builder.CreateVector(members);
    return edgewire::CreateClusterGive(
               this->builder, aResponse.queryId, update.configRevision.number,
               AgeOrNone(update.validationAge), upstreams, daemons,
               AgeOrNone(update.listsAge), aResponse.era, update.configVersion,
               aResponse.packedGrace.count(), SizeOf(aResponse.packedConfig),
               SizeOf(aResponse.packedUpstreams),
               SizeOf(aResponse.packedDaemons), encoded)
        .Union();
  }

  fb::Offset<void> operator()(const DemandGossip& aGossip) {
    return edgewire::CreateDemandGossipDirect(
               this->builder, static_cast<float>(aGossip.tokens),
               aGossip.failureDomain.c_str())
        .Union();
  }

  fb::Offset<void> operator()(const CrashGossip& aGossip) {
    std::vector<edgewire::UpstreamCrash> crashes;
    std::vector<edgewire::UpstreamCrash> begun;
    for (const UpstreamCrash& crash : aGossip.crashes) {
      (crash.evidence == CrashEvidence::NoResponse ? crashes : begun)
          .push_back(WireCrash(crash));
    }
    std::vector<std::uint64_t> cleared;
    for (const Fingerprint request : aGossip.cleared) {
      cleared.push_back(static_cast<std::uint64_t>(request));
    }
    const auto suspected = WireCrashes(aGossip.suspected);
    const auto withdrawn = WireCrashes(aGossip.withdrawn);
    return edgewire::CreateCrashGossipDirect(this->builder, &crashes, &cleared,
                                             &begun, &suspected, &withdrawn)
        .Union();
  }

  fb::Offset<void> operator()(const LimitGossip& aGossip) {
    std::vector<edgewire::UpstreamLimit> limits;
    for (const LimitNotice& notice : aGossip.limits) {
      limits.emplace_back(notice.upstream, notice.age.count(),
                          notice.callsPerSecond.value_or(edgewire::kNoLimit));
    }
    return edgewire::CreateLimitGossipDirect(this->builder, &limits).Union();
  }

 private:
  static std::uint32_t SizeOf(const SharedBytes& aBytes) {
    return aBytes ? static_cast<std::uint32_t>(aBytes->size()) : 0;
  }

  static std::int64_t AgeOrNone(std::optional<Micros> aAge) {
    return aAge ? aAge->count() : edgewire::kNoAge;
  }

  /// Encodes a list; returns a null offset if there is none.
  fb::Offset<edgewire::EntryList> WriteList(
      const std::optional<ListUpdate>& aList) {
    return aList ? zincstep::WriteList(this->builder, *aList) : 0;
  }

  fb::FlatBufferBuilder& builder;
};

edgewire::Body BodyTypeOf(const EdgePeerMessage& aMessage) {
  constexpr std::array kTypes{
      edgewire::Body_WorkGossip,  edgewire::Body_ClusterWant,
      edgewire::Body_ClusterGive, edgewire::Body_DemandGossip,
      edgewire::Body_CrashGossip, edgewire::Body_LimitGossip};
  return kTypes[aMessage.body.index()];
}

}  // namespace

std::string PackText(std::string_view aText) {
  const auto length = static_cast<std::uint32_t>(aText.size());
  std::string packed(sizeof(length) + compressBound(length), '\0');
  std::memcpy(packed.data(), &length, sizeof(length));
  uLongf size = packed.size() - sizeof(length);
  const int status = compress2(
      reinterpret_cast<Bytef*>(packed.data() + sizeof(length)), &size,
      reinterpret_cast<const Bytef*>(aText.data()), length, kPackLevel);
  if (status != Z_OK) {
    throw std::bad_alloc();  // All that can fail with room for the bound.
  }
  packed.resize(sizeof(length) + size);
  return packed;
}

std::string PackList(const ListUpdate& aList) {
  fb::FlatBufferBuilder builder;
  builder.Finish(WriteList(builder, aList));
  return PackText({reinterpret_cast<const char*>(builder.GetBufferPointer()),
                   builder.GetSize()});
}

PeerFrame WriteEdgePeerMessage(const EdgePeerMessage& aMessage) {
  fb::FlatBufferBuilder builder;
  const auto sender = builder.CreateString(aMessage.sender);
  const auto replyTo = builder.CreateString(aMessage.replyTo);
  const auto body = std::visit(BodyWriter(builder), aMessage.body);
  builder.Finish(edgewire::CreateMessage(builder, sender, replyTo,
                                         BodyTypeOf(aMessage), body));
  PeerFrame frame{{reinterpret_cast<const char*>(builder.GetBufferPointer()),
                   builder.GetSize()},
                  {}};
  if (const auto* response = std::get_if<ClusterResponse>(&aMessage.body)) {
    for (const SharedBytes& bytes :
         {response->packedConfig, response->packedUpstreams,
          response->packedDaemons}) {
      if (bytes) {
        frame.shared.push_back(bytes);
      }
    }
  }
  return frame;
}

}  // namespace zincstep
