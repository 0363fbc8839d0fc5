#include "Zincstep/Edge/EdgePeerMessage.h"

#include <zlib.h>

#include <algorithm>
#include <cmath>
#include <cstring>
#include <limits>

#include "Zincstep/Edge/Generated/EdgePeer_generated.h"

namespace zincstep {

namespace {

namespace fb = flatbuffers;

constexpr std::int64_t kNoAge = -1;
/// Encodes a limit that has ended.
constexpr double kNoLimit = -1;
/// Resolution of an encoded slowdown.
constexpr double kSlowdownStep = 0.01;
/// Maximum size of an unpacked text, in bytes: a list of 100,000 entries.
constexpr std::uint32_t kMaxTextBytes = 64 << 20;
/// Maximum compression ratio of zlib. A text that claims more is damaged.
constexpr std::uint64_t kMaxCompressionRatio = 1032;
/// Maximum nesting of a message, and maximum number of its tables; each entry
/// is one.
constexpr fb::uoffset_t kMaxDepth = 64;
constexpr fb::uoffset_t kMaxTables = 1'000'000;
/// The fastest level of zlib. Entries shrink to an eighth at any level.
constexpr int kPackLevel = 1;

std::uint16_t EncodeSlowdown(double aSlowdown) {
  const double max = std::numeric_limits<std::uint16_t>::max();
  return static_cast<std::uint16_t>(std::min(max, aSlowdown / kSlowdownStep));
}

/// Age of an announced load that the sender does not have.
constexpr std::uint16_t kNoLoadAge = std::numeric_limits<std::uint16_t>::max();

std::uint16_t EncodeCount(std::int64_t aCount) {
  return static_cast<std::uint16_t>(std::clamp<std::int64_t>(
      aCount, 0, std::numeric_limits<std::uint16_t>::max()));
}

/// Parses a quantity; one that is negative or not finite becomes 0.
double ReadQuantity(float aValue) {
  return std::isfinite(aValue) && aValue > 0 ? aValue : 0;
}

std::string TextOf(const fb::String* aText) {
  return aText == nullptr ? std::string() : aText->str();
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
                                              kNoLoadAge - 1)
                    : kNoLoadAge;
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
    for (const UpstreamCrash& crash : aGossip.crashes) {
      crashes.emplace_back(static_cast<std::uint64_t>(crash.candidate),
                           crash.upstream);
    }
    std::vector<std::uint64_t> cleared;
    for (const Fingerprint request : aGossip.cleared) {
      cleared.push_back(static_cast<std::uint64_t>(request));
    }
    return edgewire::CreateCrashGossipDirect(this->builder, &crashes, &cleared)
        .Union();
  }

  fb::Offset<void> operator()(const LimitGossip& aGossip) {
    std::vector<edgewire::UpstreamLimit> limits;
    for (const LimitNotice& notice : aGossip.limits) {
      limits.emplace_back(notice.upstream, notice.age.count(),
                          notice.callsPerSecond.value_or(kNoLimit));
    }
    return edgewire::CreateLimitGossipDirect(this->builder, &limits).Union();
  }

 private:
  static std::uint32_t SizeOf(const SharedBytes& aBytes) {
    return aBytes ? static_cast<std::uint32_t>(aBytes->size()) : 0;
  }

  static std::int64_t AgeOrNone(std::optional<Micros> aAge) {
    return aAge ? aAge->count() : kNoAge;
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

std::vector<FirstStageWork> ReadFirstStages(
    const edgewire::WorkGossip& aTable) {
  std::vector<FirstStageWork> stages;
  if (aTable.first_stages() == nullptr) {
    return stages;
  }
  for (const edgewire::FirstStageWork* stage : *aTable.first_stages()) {
    if (stages.size() == kMaxFirstStages) {
      break;
    }
    stages.push_back({stage->upstream(), stage->requests(), stage->running(),
                      stage->queued(), std::nullopt});
    if (stage->age_ms() != kNoLoadAge) {
      stages.back().age = Micros{1ms} * stage->age_ms();
    }
  }
  return stages;
}

std::vector<PriorityDemand> ReadDemands(const edgewire::WorkGossip& aTable) {
  std::vector<PriorityDemand> demands;
  if (aTable.demands() == nullptr) {
    return demands;
  }
  for (const edgewire::PriorityDemand* demand : *aTable.demands()) {
    if (demands.size() == kMaxPriorityDemands) {
      break;
    }
    demands.push_back({demand->service(), demand->priority(),
                       ReadQuantity(demand->demand()),
                       ReadQuantity(demand->used()), demand->waiting()});
  }
  return demands;
}

std::vector<OrganisationDemand> ReadOrganisations(
    const edgewire::WorkGossip& aTable) {
  std::vector<OrganisationDemand> organisations;
  if (aTable.organisations() == nullptr) {
    return organisations;
  }
  for (const edgewire::OrganisationDemand* demand : *aTable.organisations()) {
    if (organisations.size() == kMaxOrganisationDemands) {
      break;
    }
    organisations.push_back({demand->organisation(),
                             ReadQuantity(demand->demand()),
                             ReadQuantity(demand->used())});
  }
  return organisations;
}

WorkGossip ReadWork(const edgewire::WorkGossip& aTable) {
  WorkGossip gossip;
  gossip.firstStages = ReadFirstStages(aTable);
  gossip.demands = ReadDemands(aTable);
  gossip.organisations = ReadOrganisations(aTable);
  gossip.coversDomain = aTable.covers_domain();
  if (aTable.works() != nullptr) {
    for (const edgewire::UpstreamWork* work : *aTable.works()) {
      gossip.works.push_back({work->upstream(), work->work(), work->suspect(),
                              work->pace() * kSlowdownStep});
    }
  }
  return gossip;
}

LimitGossip ReadLimits(const edgewire::LimitGossip& aTable) {
  LimitGossip gossip;
  if (aTable.limits() == nullptr) {
    return gossip;
  }
  for (const edgewire::UpstreamLimit* limit : *aTable.limits()) {
    LimitNotice notice{limit->upstream(),
                       {},
                       Micros{std::max<std::int64_t>(0, limit->age_us())}};
    if (std::isfinite(limit->calls_per_second()) &&
        limit->calls_per_second() >= 0) {
      notice.callsPerSecond = limit->calls_per_second();
    }
    gossip.limits.push_back(notice);
  }
  return gossip;
}

CrashGossip ReadCrashes(const edgewire::CrashGossip& aTable) {
  CrashGossip gossip;
  if (aTable.crashes() != nullptr) {
    for (const edgewire::UpstreamCrash* crash : *aTable.crashes()) {
      gossip.crashes.push_back(
          {Fingerprint{crash->request()}, crash->upstream()});
    }
  }
  if (aTable.cleared() != nullptr) {
    for (const std::uint64_t request : *aTable.cleared()) {
      gossip.cleared.push_back(Fingerprint{request});
    }
  }
  return gossip;
}

std::optional<Micros> ReadAge(std::int64_t aAge) {
  return aAge >= 0 ? std::optional<Micros>(aAge) : std::nullopt;
}

std::optional<ListUpdate> ReadList(const edgewire::EntryList* aTable,
                                   std::uint64_t aEra) {
  if (aTable == nullptr) {
    return std::nullopt;
  }
  ListUpdate update;
  update.at = {aTable->at(), aEra};
  update.isFull = aTable->whole();
  update.grace = Micros{aTable->grace_us()};
  update.digest = aTable->digest();
  if (aTable->entries() != nullptr) {
    for (const edgewire::Entry* entry : *aTable->entries()) {
      update.items.push_back({TextOf(entry->id()), TextOf(entry->value()),
                              StoreRevision{entry->revision(), aEra}});
    }
  }
  if (aTable->removed() != nullptr) {
    for (const fb::String* id : *aTable->removed()) {
      update.removed.push_back(TextOf(id));
    }
  }
  return update;
}

/// Uncompresses a text; returns none if it is damaged.
std::optional<std::string> UnpackText(std::string_view aPacked) {
  std::uint32_t length = 0;
  if (aPacked.size() <= sizeof(length)) {
    return std::nullopt;
  }
  std::memcpy(&length, aPacked.data(), sizeof(length));
  aPacked.remove_prefix(sizeof(length));
  if (length > kMaxTextBytes ||
      length > aPacked.size() * kMaxCompressionRatio) {
    return std::nullopt;
  }
  std::string text(length, '\0');
  uLongf unpacked = length;
  const int status = uncompress(
      reinterpret_cast<Bytef*>(text.data()), &unpacked,
      reinterpret_cast<const Bytef*>(aPacked.data()), aPacked.size());
  if (status != Z_OK || unpacked != length) {
    return std::nullopt;
  }
  return text;
}

/// Uncompresses and parses a list; returns none if it is damaged.
std::optional<ListUpdate> UnpackList(std::string_view aPacked,
                                     std::uint64_t aEra) {
  const std::optional<std::string> text = UnpackText(aPacked);
  if (!text) {
    return std::nullopt;
  }
  fb::Verifier verifier(reinterpret_cast<const std::uint8_t*>(text->data()),
                        text->size(), kMaxDepth, kMaxTables);
  if (!verifier.VerifyBuffer<edgewire::EntryList>(nullptr)) {
    return std::nullopt;
  }
  return ReadList(fb::GetRoot<edgewire::EntryList>(text->data()), aEra);
}

/// Reads the packed parts behind a message in sequence.
class PackedParts {
 public:
  explicit PackedParts(std::string_view aParts) : remaining(aParts) {}

  std::string_view Next(std::uint32_t aBytes) {
    const std::string_view part = this->remaining.substr(0, aBytes);
    this->remaining.remove_prefix(part.size());
    return part;
  }

 private:
  std::string_view remaining;
};

ClusterQuery ReadQuery(const edgewire::ClusterWant& aTable) {
  const std::uint64_t era = aTable.era();
  ClusterQuery query;
  query.era = era;
  query.queryId = aTable.question();
  const auto known = [era](std::uint64_t aNumber) {
    return aNumber == kNotRequested.number ? kNotRequested
                                           : StoreRevision{aNumber, era};
  };
  query.known.config = known(aTable.config_revision());
  query.known.upstreams = known(aTable.upstreams_at());
  query.known.daemons = known(aTable.daemons_at());
  query.known.configVersion = aTable.config_version();
  query.failureDomain = TextOf(aTable.failure_domain());
  query.linkMbps = std::isfinite(aTable.link_mbps()) ? aTable.link_mbps() : 0;
  query.needsEntry = aTable.wants_entry();
  query.requestsMembers = aTable.wants_names();
  return query;
}

/// Total size of the packed parts behind the message, in bytes.
std::uint64_t PackedBytes(const edgewire::ClusterGive& aTable) {
  return std::uint64_t{aTable.config_bytes()} + aTable.upstreams_bytes() +
         aTable.daemons_bytes();
}

ClusterResponse ReadResponse(const edgewire::ClusterGive& aTable,
                             PackedParts aParts) {
  ClusterResponse response;
  response.era = aTable.era();
  response.queryId = aTable.question();
  response.update.configRevision = {aTable.config_revision(), response.era};
  response.update.configVersion = aTable.config_version();
  response.update.validationAge = ReadAge(aTable.proof_age_us());
  response.update.upstreams = ReadList(aTable.upstreams(), response.era);
  response.update.daemons = ReadList(aTable.daemons(), response.era);
  response.update.listsAge = ReadAge(aTable.lists_age_us());
  if (aTable.config_bytes() > 0) {
    response.update.configText =
        UnpackText(aParts.Next(aTable.config_bytes())).value_or("");
  }
  if (aTable.upstreams_bytes() > 0) {
    response.update.upstreams =
        UnpackList(aParts.Next(aTable.upstreams_bytes()), response.era);
    if (response.update.upstreams) {
      response.update.upstreams->grace = Micros{aTable.packed_grace_us()};
    }
  }
  if (aTable.daemons_bytes() > 0) {
    response.update.daemons =
        UnpackList(aParts.Next(aTable.daemons_bytes()), response.era);
  }
  if (aTable.names() != nullptr) {
    for (const edgewire::Peer* peer : *aTable.names()) {
      const double link =
          std::isfinite(peer->link_mbps()) ? peer->link_mbps() : 0;
      response.members.push_back(
          {TextOf(peer->name()), TextOf(peer->address()), "", link});
    }
  }
  return response;
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
  ZINCSTEP_ASSERT(status == Z_OK);
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

Result<EdgePeerMessage> ReadEdgePeerMessage(std::string_view aBuffer) {
  fb::Verifier verifier(reinterpret_cast<const std::uint8_t*>(aBuffer.data()),
                        aBuffer.size(), kMaxDepth, kMaxTables);
  if (!edgewire::VerifyMessageBuffer(verifier)) {
    return Fail(ErrorKind::BadRequest, "malformed peer message");
  }
  const edgewire::Message* table = edgewire::GetMessage(aBuffer.data());
  EdgePeerMessage message{
      TextOf(table->sender()), TextOf(table->reply_to()), {}};
  if (const auto* gossip = table->body_as_WorkGossip()) {
    message.body = ReadWork(*gossip);
  } else if (const auto* query = table->body_as_ClusterWant()) {
    message.body = ReadQuery(*query);
  } else if (const auto* response = table->body_as_ClusterGive()) {
    const std::uint64_t packed = PackedBytes(*response);
    if (packed > aBuffer.size()) {
      return Fail(ErrorKind::BadRequest, "truncated peer message");
    }
    message.body = ReadResponse(
        *response, PackedParts(aBuffer.substr(aBuffer.size() - packed)));
  } else if (const auto* demand = table->body_as_DemandGossip()) {
    message.body =
        DemandGossip{demand->tokens(), TextOf(demand->failure_domain())};
  } else if (const auto* crashes = table->body_as_CrashGossip()) {
    message.body = ReadCrashes(*crashes);
  } else if (const auto* limits = table->body_as_LimitGossip()) {
    message.body = ReadLimits(*limits);
  } else {
    return Fail(ErrorKind::BadRequest, "peer message without a body");
  }
  return message;
}

}  // namespace zincstep
