#include "Zincstep/Edge/EdgePeerMessage.h"

#include "Zincstep/Edge/Generated/EdgePeer_generated.h"

namespace zincstep {

namespace {

namespace fb = flatbuffers;

constexpr std::int64_t kNoProof = -1;

std::string TextOf(const fb::String* aText) {
  return aText == nullptr ? std::string() : aText->str();
}

/// Writes the bodies; each gives the offset of its table.
class BodyWriter {
 public:
  explicit BodyWriter(fb::FlatBufferBuilder& aBuilder) : builder(aBuilder) {}

  fb::Offset<void> operator()(const WorkGossip& aGossip) {
    std::vector<fb::Offset<edgewire::UpstreamWork>> works;
    for (const UpstreamWork& work : aGossip.works) {
      works.push_back(edgewire::CreateUpstreamWorkDirect(
          this->builder, work.id.c_str(), static_cast<float>(work.work),
          work.isSuspect, work.isRefusing));
    }
    return edgewire::CreateWorkGossipDirect(this->builder, &works).Union();
  }

  fb::Offset<void> operator()(const ClusterWant& aWant) {
    return edgewire::CreateClusterWant(this->builder, aWant.question,
                                       aWant.configRevision, aWant.upstreamsAt)
        .Union();
  }

  fb::Offset<void> operator()(const ClusterGive& aGive) {
    const ClusterCopy& copy = aGive.copy;
    std::vector<fb::Offset<edgewire::Entry>> entries;
    const StoreRange none;
    const StoreRange& range = copy.upstreams ? *copy.upstreams : none;
    for (const StoreItem& item : range.items) {
      const auto id = this->builder.CreateString(item.key);
      const auto value = this->builder.CreateString(item.value);
      entries.push_back(
          edgewire::CreateEntry(this->builder, id, value, item.revision));
    }
    const auto config = this->builder.CreateString(copy.configText);
    const auto list = this->builder.CreateVector(entries);
    return edgewire::CreateClusterGive(
               this->builder, aGive.question, copy.configRevision, config,
               copy.proofAge ? copy.proofAge->count() : kNoProof, range.at,
               list)
        .Union();
  }

 private:
  fb::FlatBufferBuilder& builder;
};

edgewire::Body TypeOf(const EdgePeerMessage& aMessage) {
  constexpr std::array kTypes{edgewire::Body_WorkGossip,
                              edgewire::Body_ClusterWant,
                              edgewire::Body_ClusterGive};
  return kTypes[aMessage.body.index()];
}

WorkGossip ReadGossip(const edgewire::WorkGossip& aTable) {
  WorkGossip gossip;
  if (aTable.works() != nullptr) {
    for (const edgewire::UpstreamWork* work : *aTable.works()) {
      gossip.works.push_back({TextOf(work->id()), work->work(), work->suspect(),
                              work->refusing()});
    }
  }
  return gossip;
}

ClusterGive ReadGive(const edgewire::ClusterGive& aTable) {
  ClusterGive give;
  give.question = aTable.question();
  give.copy.configRevision = aTable.config_revision();
  give.copy.configText = TextOf(aTable.config());
  if (aTable.proof_age_us() >= 0) {
    give.copy.proofAge = Micros{aTable.proof_age_us()};
  }
  if (aTable.upstreams_at() == 0) {
    return give;
  }
  give.copy.upstreams = StoreRange{{}, aTable.upstreams_at()};
  if (aTable.upstreams() != nullptr) {
    for (const edgewire::Entry* entry : *aTable.upstreams()) {
      give.copy.upstreams->items.push_back(
          {TextOf(entry->id()), TextOf(entry->value()), entry->revision()});
    }
  }
  return give;
}

}  // namespace

std::string WriteEdgePeerMessage(const EdgePeerMessage& aMessage) {
  fb::FlatBufferBuilder builder;
  const auto sender = builder.CreateString(aMessage.sender);
  const auto replyTo = builder.CreateString(aMessage.replyTo);
  const auto body = std::visit(BodyWriter(builder), aMessage.body);
  builder.Finish(edgewire::CreateMessage(builder, sender, replyTo,
                                         TypeOf(aMessage), body));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

Result<EdgePeerMessage> ReadEdgePeerMessage(std::string_view aBuffer) {
  fb::Verifier verifier(reinterpret_cast<const std::uint8_t*>(aBuffer.data()),
                        aBuffer.size());
  if (!edgewire::VerifyMessageBuffer(verifier)) {
    return Fail(ErrorKind::BadRequest, "not a message");
  }
  const edgewire::Message* table = edgewire::GetMessage(aBuffer.data());
  EdgePeerMessage message{
      TextOf(table->sender()), TextOf(table->reply_to()), {}};
  if (const auto* gossip = table->body_as_WorkGossip()) {
    message.body = ReadGossip(*gossip);
  } else if (const auto* want = table->body_as_ClusterWant()) {
    message.body = ClusterWant{want->question(), want->config_revision(),
                               want->upstreams_at()};
  } else if (const auto* give = table->body_as_ClusterGive()) {
    message.body = ReadGive(*give);
  } else {
    return Fail(ErrorKind::BadRequest, "a message without a body");
  }
  return message;
}

}  // namespace zincstep
