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

constexpr std::int64_t kNoProof = -1;
/// Stands for a limit that has ended.
constexpr double kNoLimit = -1;
/// A pace is told in steps of this.
constexpr double kPaceStep = 0.01;
/// Longest text that is unpacked: a list of 100,000 entries.
constexpr std::uint32_t kLongestText = 64 << 20;
/// zlib packs no text to a smaller part than this: one that claims so is
/// damaged.
constexpr std::uint64_t kMostShrinking = 1032;
/// How deep messages are nested, and tables in them: one an entry.
constexpr fb::uoffset_t kMostDepth = 64;
constexpr fb::uoffset_t kMostTables = 1'000'000;
/// Of zlib's levels the quickest: entries shrink to an eighth with any.
constexpr int kPackLevel = 1;

std::uint16_t StepsOf(double aPace) {
  const double most = std::numeric_limits<std::uint16_t>::max();
  return static_cast<std::uint16_t>(std::min(most, aPace / kPaceStep));
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
  const auto written = aBuilder.CreateVector(entries);
  const auto removed = aBuilder.CreateVectorOfStrings(aList.removed);
  return edgewire::CreateEntryList(aBuilder, aList.at.number, aList.isWhole,
                                   written, removed, aList.grace.count(),
                                   aList.digest);
}

/// Writes the bodies; each gives the offset of its table.
class BodyWriter {
 public:
  explicit BodyWriter(fb::FlatBufferBuilder& aBuilder) : builder(aBuilder) {}

  fb::Offset<void> operator()(const WorkGossip& aGossip) {
    std::vector<edgewire::UpstreamWork> works;
    works.reserve(aGossip.works.size());
    for (const UpstreamWork& work : aGossip.works) {
      works.emplace_back(work.upstream, static_cast<float>(work.work),
                         StepsOf(work.pace), work.isSuspect);
    }
    return edgewire::CreateWorkGossipDirect(this->builder, &works).Union();
  }

  fb::Offset<void> operator()(const ClusterWant& aWant) {
    const KnownRevisions& known = aWant.known;
    return edgewire::CreateClusterWantDirect(
               this->builder, aWant.question, known.config.number,
               known.upstreams.number, known.daemons.number, aWant.era,
               known.configVersion, aWant.failureDomain.c_str(),
               static_cast<float>(aWant.linkMbps), aWant.wantsEntry,
               aWant.wantsNames)
        .Union();
  }

  fb::Offset<void> operator()(const ClusterGive& aGive) {
    const ClusterUpdate& copy = aGive.copy;
    const auto upstreams = this->WriteList(copy.upstreams);
    const auto daemons = this->WriteList(copy.daemons);
    std::vector<fb::Offset<edgewire::Peer>> names;
    for (const PeerName& peer : aGive.names) {
      names.push_back(edgewire::CreatePeerDirect(
          this->builder, peer.name.c_str(), peer.address.c_str(),
          static_cast<float>(peer.linkMbps)));
    }
    const auto written = this->builder.CreateVector(names);
    return edgewire::CreateClusterGive(
               this->builder, aGive.question, copy.configRevision.number,
               AgeOrNone(copy.validationAge), upstreams, daemons,
               AgeOrNone(copy.listsAge), aGive.era, copy.configVersion,
               aGive.packedGrace.count(), SizeOf(aGive.packedConfig),
               SizeOf(aGive.packedUpstreams), SizeOf(aGive.packedDaemons),
               written)
        .Union();
  }

  fb::Offset<void> operator()(const DemandGossip& aGossip) {
    return edgewire::CreateDemandGossip(this->builder,
                                        static_cast<float>(aGossip.tokens))
        .Union();
  }

  fb::Offset<void> operator()(const CrashGossip& aGossip) {
    std::vector<edgewire::UpstreamCrash> crashes;
    for (const UpstreamCrash& crash : aGossip.crashes) {
      crashes.emplace_back(static_cast<std::uint64_t>(crash.request),
                           crash.upstream);
    }
    std::vector<std::uint64_t> cleared;
    for (const RequestFingerprint request : aGossip.cleared) {
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
    return aAge ? aAge->count() : kNoProof;
  }

  /// The list; a null offset where there is none.
  fb::Offset<edgewire::EntryList> WriteList(
      const std::optional<ListUpdate>& aList) {
    return aList ? zincstep::WriteList(this->builder, *aList) : 0;
  }

  fb::FlatBufferBuilder& builder;
};

edgewire::Body TypeOf(const EdgePeerMessage& aMessage) {
  constexpr std::array kTypes{
      edgewire::Body_WorkGossip,  edgewire::Body_ClusterWant,
      edgewire::Body_ClusterGive, edgewire::Body_DemandGossip,
      edgewire::Body_CrashGossip, edgewire::Body_LimitGossip};
  return kTypes[aMessage.body.index()];
}

WorkGossip ReadGossip(const edgewire::WorkGossip& aTable) {
  WorkGossip gossip;
  if (aTable.works() != nullptr) {
    for (const edgewire::UpstreamWork* work : *aTable.works()) {
      gossip.works.push_back({work->upstream(), work->work(), work->suspect(),
                              work->pace() * kPaceStep});
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
          {RequestFingerprint{crash->request()}, crash->upstream()});
    }
  }
  if (aTable.cleared() != nullptr) {
    for (const std::uint64_t request : *aTable.cleared()) {
      gossip.cleared.push_back(RequestFingerprint{request});
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
  ListUpdate copy;
  copy.at = {aTable->at(), aEra};
  copy.isWhole = aTable->whole();
  copy.grace = Micros{aTable->grace_us()};
  copy.digest = aTable->digest();
  if (aTable->entries() != nullptr) {
    for (const edgewire::Entry* entry : *aTable->entries()) {
      copy.items.push_back({TextOf(entry->id()), TextOf(entry->value()),
                            StoreRevision{entry->revision(), aEra}});
    }
  }
  if (aTable->removed() != nullptr) {
    for (const fb::String* id : *aTable->removed()) {
      copy.removed.push_back(TextOf(id));
    }
  }
  return copy;
}

/// The text that was packed; none where it is damaged.
std::optional<std::string> UnpackText(std::string_view aPacked) {
  std::uint32_t length = 0;
  if (aPacked.size() <= sizeof(length)) {
    return std::nullopt;
  }
  std::memcpy(&length, aPacked.data(), sizeof(length));
  aPacked.remove_prefix(sizeof(length));
  if (length > kLongestText || length > aPacked.size() * kMostShrinking) {
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

/// The list that was packed; none where it is damaged.
std::optional<ListUpdate> UnpackList(std::string_view aPacked,
                                     std::uint64_t aEra) {
  const std::optional<std::string> text = UnpackText(aPacked);
  if (!text) {
    return std::nullopt;
  }
  fb::Verifier verifier(reinterpret_cast<const std::uint8_t*>(text->data()),
                        text->size(), kMostDepth, kMostTables);
  if (!verifier.VerifyBuffer<edgewire::EntryList>(nullptr)) {
    return std::nullopt;
  }
  return ReadList(fb::GetRoot<edgewire::EntryList>(text->data()), aEra);
}

/// What stands behind a message, from its beginning on.
class PackedParts {
 public:
  explicit PackedParts(std::string_view aParts) : rest(aParts) {}

  std::string_view Take(std::uint32_t aBytes) {
    const std::string_view part = this->rest.substr(0, aBytes);
    this->rest.remove_prefix(part.size());
    return part;
  }

 private:
  std::string_view rest;
};

ClusterWant ReadWant(const edgewire::ClusterWant& aTable) {
  const std::uint64_t era = aTable.era();
  ClusterWant want;
  want.era = era;
  want.question = aTable.question();
  const auto known = [era](std::uint64_t aNumber) {
    return aNumber == kNotWanted.number ? kNotWanted
                                        : StoreRevision{aNumber, era};
  };
  want.known.config = known(aTable.config_revision());
  want.known.upstreams = known(aTable.upstreams_at());
  want.known.daemons = known(aTable.daemons_at());
  want.known.configVersion = aTable.config_version();
  want.failureDomain = TextOf(aTable.failure_domain());
  want.linkMbps = std::isfinite(aTable.link_mbps()) ? aTable.link_mbps() : 0;
  want.wantsEntry = aTable.wants_entry();
  want.wantsNames = aTable.wants_names();
  return want;
}

/// Bytes of what stands behind the message.
std::uint64_t PackedBytes(const edgewire::ClusterGive& aTable) {
  return std::uint64_t{aTable.config_bytes()} + aTable.upstreams_bytes() +
         aTable.daemons_bytes();
}

ClusterGive ReadGive(const edgewire::ClusterGive& aTable, PackedParts aParts) {
  ClusterGive give;
  give.era = aTable.era();
  give.question = aTable.question();
  give.copy.configRevision = {aTable.config_revision(), give.era};
  give.copy.configVersion = aTable.config_version();
  give.copy.validationAge = ReadAge(aTable.proof_age_us());
  give.copy.upstreams = ReadList(aTable.upstreams(), give.era);
  give.copy.daemons = ReadList(aTable.daemons(), give.era);
  give.copy.listsAge = ReadAge(aTable.lists_age_us());
  if (aTable.config_bytes() > 0) {
    give.copy.configText =
        UnpackText(aParts.Take(aTable.config_bytes())).value_or("");
  }
  if (aTable.upstreams_bytes() > 0) {
    give.copy.upstreams =
        UnpackList(aParts.Take(aTable.upstreams_bytes()), give.era);
    if (give.copy.upstreams) {
      give.copy.upstreams->grace = Micros{aTable.packed_grace_us()};
    }
  }
  if (aTable.daemons_bytes() > 0) {
    give.copy.daemons =
        UnpackList(aParts.Take(aTable.daemons_bytes()), give.era);
  }
  if (aTable.names() != nullptr) {
    for (const edgewire::Peer* peer : *aTable.names()) {
      const double link =
          std::isfinite(peer->link_mbps()) ? peer->link_mbps() : 0;
      give.names.push_back(
          {TextOf(peer->name()), TextOf(peer->address()), "", link});
    }
  }
  return give;
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
                                         TypeOf(aMessage), body));
  PeerFrame text{{reinterpret_cast<const char*>(builder.GetBufferPointer()),
                  builder.GetSize()},
                 {}};
  if (const auto* give = std::get_if<ClusterGive>(&aMessage.body)) {
    for (const SharedBytes& bytes :
         {give->packedConfig, give->packedUpstreams, give->packedDaemons}) {
      if (bytes) {
        text.shared.push_back(bytes);
      }
    }
  }
  return text;
}

Result<EdgePeerMessage> ReadEdgePeerMessage(std::string_view aBuffer) {
  fb::Verifier verifier(reinterpret_cast<const std::uint8_t*>(aBuffer.data()),
                        aBuffer.size(), kMostDepth, kMostTables);
  if (!edgewire::VerifyMessageBuffer(verifier)) {
    return Fail(ErrorKind::BadRequest, "not a message");
  }
  const edgewire::Message* table = edgewire::GetMessage(aBuffer.data());
  EdgePeerMessage message{
      TextOf(table->sender()), TextOf(table->reply_to()), {}};
  if (const auto* gossip = table->body_as_WorkGossip()) {
    message.body = ReadGossip(*gossip);
  } else if (const auto* want = table->body_as_ClusterWant()) {
    message.body = ReadWant(*want);
  } else if (const auto* give = table->body_as_ClusterGive()) {
    const std::uint64_t packed = PackedBytes(*give);
    if (packed > aBuffer.size()) {
      return Fail(ErrorKind::BadRequest, "a message that lacks its end");
    }
    message.body =
        ReadGive(*give, PackedParts(aBuffer.substr(aBuffer.size() - packed)));
  } else if (const auto* demand = table->body_as_DemandGossip()) {
    message.body = DemandGossip{demand->tokens()};
  } else if (const auto* crashes = table->body_as_CrashGossip()) {
    message.body = ReadCrashes(*crashes);
  } else if (const auto* limits = table->body_as_LimitGossip()) {
    message.body = ReadLimits(*limits);
  } else {
    return Fail(ErrorKind::BadRequest, "a message without a body");
  }
  return message;
}

}  // namespace zincstep
