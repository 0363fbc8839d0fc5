/// \file
/// Decoding of messages between daemons, which may be damaged.

#include <zlib.h>

#include <algorithm>
#include <cmath>
#include <cstring>

#include "Zincstep/Edge/EdgePeerMessage.h"
#include "Zincstep/Edge/EdgePeerWire.h"
#include "Zincstep/Edge/Generated/EdgePeer_generated.h"

namespace zincstep {

namespace {

namespace fb = flatbuffers;

/// Maximum size of an unpacked text, in bytes: a list of 100,000 entries.
constexpr std::uint32_t kMaxTextBytes = 64 << 20;
/// Maximum compression ratio of zlib. A text that claims more is damaged.
constexpr std::uint64_t kMaxCompressionRatio = 1032;
/// Maximum nesting of a message, and maximum number of its tables; each entry
/// is one.
constexpr fb::uoffset_t kMaxDepth = 64;
constexpr fb::uoffset_t kMaxTables = 1'000'000;

/// Maximum duration in a message: longer ones overflow the clock's type when
/// they are added to an instant.
constexpr Micros kMaxDuration = 24h;

/// Parses a quantity; one that is negative or not finite becomes 0.
double ReadQuantity(float aValue) {
  return std::isfinite(aValue) && aValue > 0 ? aValue : 0;
}

/// Parses a duration; one that is negative becomes 0.
Micros ReadDuration(std::int64_t aMicros) {
  return std::clamp(Micros{aMicros}, Micros{0}, kMaxDuration);
}

std::string TextOf(const fb::String* aText) {
  return aText == nullptr ? std::string() : aText->str();
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
    if (stage->age_ms() != edgewire::kNoLoadAge) {
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
      gossip.works.push_back({work->upstream(), ReadQuantity(work->work()),
                              work->suspect(),
                              work->pace() * edgewire::kSlowdownStep});
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
    LimitNotice notice{limit->upstream(), {}, ReadDuration(limit->age_us())};
    if (std::isfinite(limit->calls_per_second()) &&
        limit->calls_per_second() >= 0) {
      notice.callsPerSecond = limit->calls_per_second();
    }
    gossip.limits.push_back(notice);
  }
  return gossip;
}

std::vector<UpstreamCrash> ReadCrashList(
    const fb::Vector<const edgewire::UpstreamCrash*>* aCrashes,
    CrashEvidence aEvidence) {
  std::vector<UpstreamCrash> crashes;
  if (aCrashes != nullptr) {
    for (const edgewire::UpstreamCrash* crash : *aCrashes) {
      crashes.push_back(
          {Fingerprint{crash->request()}, crash->upstream(), aEvidence});
    }
  }
  return crashes;
}

CrashGossip ReadCrashes(const edgewire::CrashGossip& aTable) {
  constexpr auto kNoResponse = CrashEvidence::NoResponse;
  CrashGossip gossip;
  gossip.crashes = ReadCrashList(aTable.crashes(), kNoResponse);
  const auto begun =
      ReadCrashList(aTable.crashes_begun(), CrashEvidence::ResponseBegun);
  gossip.crashes.insert(gossip.crashes.end(), begun.begin(), begun.end());
  gossip.suspected = ReadCrashList(aTable.suspected(), kNoResponse);
  gossip.withdrawn = ReadCrashList(aTable.withdrawn(), kNoResponse);
  if (aTable.cleared() != nullptr) {
    for (const std::uint64_t request : *aTable.cleared()) {
      gossip.cleared.push_back(Fingerprint{request});
    }
  }
  return gossip;
}

std::optional<Micros> ReadAge(std::int64_t aAge) {
  return aAge >= 0 ? std::optional(ReadDuration(aAge)) : std::nullopt;
}

std::optional<ListUpdate> ReadList(const edgewire::EntryList* aTable,
                                   std::uint64_t aEra) {
  if (aTable == nullptr) {
    return std::nullopt;
  }
  ListUpdate update;
  update.at = {aTable->at(), aEra};
  update.isFull = aTable->whole();
  update.grace = ReadDuration(aTable->grace_us());
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
      response.update.upstreams->grace = ReadDuration(aTable.packed_grace_us());
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
    message.body = DemandGossip{ReadQuantity(demand->tokens()),
                                TextOf(demand->failure_domain())};
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
