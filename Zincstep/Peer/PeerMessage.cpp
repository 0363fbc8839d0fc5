#include "Zincstep/Peer/PeerMessage.h"

#include "Zincstep/Peer/Generated/Peer_generated.h"

namespace zincstep {

namespace {

namespace fb = flatbuffers;

using Builder = fb::FlatBufferBuilder;

std::string TextOf(const fb::String* aText) {
  return aText == nullptr ? std::string() : aText->str();
}

/// Writes the bodies; each gives the offset of its table.
class BodyWriter {
 public:
  explicit BodyWriter(Builder& aBuilder) : builder(aBuilder) {}

  fb::Offset<void> operator()(const GossipMessage& aGossip) {
    std::vector<fb::Offset<wire::UpstreamLoad>> loads;
    for (const UpstreamLoad& load : aGossip.loads) {
      loads.push_back(wire::CreateUpstreamLoadDirect(
          this->builder, load.name.c_str(), static_cast<float>(load.sequences),
          load.version.c_str(), load.reachable));
    }
    std::vector<wire::Usage> usages;
    for (const UsageReport& usage : aGossip.usages) {
      usages.emplace_back(usage.organisation, static_cast<float>(usage.demand));
    }
    const auto leaving = this->builder.CreateVectorOfStrings(aGossip.leaving);
    const auto paused = this->builder.CreateVectorOfStrings(aGossip.paused);
    const auto vm = this->builder.CreateString(aGossip.vm);
    const auto member = this->builder.CreateString(aGossip.member);
    const auto domain = this->builder.CreateString(aGossip.failureDomain);
    const auto address = this->builder.CreateString(aGossip.address);
    const auto handedTo = this->builder.CreateString(aGossip.handedTo);
    const auto loadList = this->builder.CreateVector(loads);
    const auto usageList = this->builder.CreateVectorOfStructs(usages);
    return wire::CreateGossip(this->builder, vm, member, domain, address,
                              aGossip.revision, aGossip.membersVersion,
                              aGossip.stopping, handedTo, loadList, usageList,
                              leaving, paused)
        .Union();
  }

  fb::Offset<void> operator()(const ClaimOrderMessage& aOrder) {
    const auto claim = this->Put(aOrder.claim);
    return wire::CreateClaimOrder(this->builder, aOrder.round, aOrder.epoch,
                                  static_cast<wire::ClaimStep>(aOrder.step),
                                  claim)
        .Union();
  }

  fb::Offset<void> operator()(const ClaimVoteMessage& aVote) {
    const auto claim = this->Put(aVote.vote.claim);
    return wire::CreateClaimVote(this->builder, aVote.round,
                                 static_cast<std::uint8_t>(aVote.vote.kind),
                                 claim)
        .Union();
  }

  fb::Offset<void> operator()(const ConfigWantMessage& aWant) {
    const auto digests = this->builder.CreateVectorOfStrings(aWant.haveDigests);
    return wire::CreateConfigWant(this->builder, aWant.haveRevision, digests)
        .Union();
  }

  fb::Offset<void> operator()(const ConfigGiveMessage& aGive) {
    std::vector<fb::Offset<wire::Piece>> pieces;
    for (const auto& [digest, text] : aGive.pieces) {
      pieces.push_back(
          wire::CreatePieceDirect(this->builder, digest.c_str(), text.c_str()));
    }
    return wire::CreateConfigGiveDirect(this->builder, aGive.revision,
                                        aGive.root.c_str(), &pieces)
        .Union();
  }

  fb::Offset<void> operator()(const MembersGiveMessage& aGive) {
    return wire::CreateMembersGiveDirect(this->builder, aGive.text.c_str())
        .Union();
  }

  fb::Offset<void> operator()(const MembersWantMessage&) {
    return wire::CreateMembersWant(this->builder).Union();
  }

  fb::Offset<void> operator()(const HandOverMessage& aHandOver) {
    std::vector<fb::Offset<wire::Claim>> claims;
    for (const Claim& claim : aHandOver.claims) {
      claims.push_back(this->Put(claim));
    }
    return wire::CreateHandOverDirect(this->builder, aHandOver.from.c_str(),
                                      &claims)
        .Union();
  }

  fb::Offset<void> operator()(const HandOverDoneMessage& aDone) {
    return wire::CreateHandOverDoneDirect(this->builder, aDone.from.c_str())
        .Union();
  }

 private:
  fb::Offset<wire::Claim> Put(const Claim& aClaim) {
    return wire::CreateClaimDirect(
        this->builder, aClaim.key.c_str(), aClaim.digest,
        aClaim.claimant.member.c_str(), aClaim.claimant.request,
        static_cast<std::uint8_t>(aClaim.state), aClaim.response.status,
        aClaim.response.contentType.c_str(), aClaim.response.body.c_str(),
        aClaim.response.isTruncated);
  }

  Builder& builder;
};

Claim ReadClaim(const wire::Claim* aClaim) {
  Claim claim;
  if (aClaim == nullptr) {
    return claim;
  }
  claim.key = TextOf(aClaim->key());
  claim.digest = aClaim->digest();
  claim.claimant = {TextOf(aClaim->member()), aClaim->request()};
  // An unknown state is taken for the careful one.
  claim.state = aClaim->state() < kClaimStateNames.size()
                    ? static_cast<ClaimState>(aClaim->state())
                    : ClaimState::Unknown;
  claim.response.status = aClaim->status();
  claim.response.contentType = TextOf(aClaim->content_type());
  claim.response.body = TextOf(aClaim->body());
  claim.response.isTruncated = aClaim->truncated();
  return claim;
}

std::vector<Claim> ReadClaims(
    const fb::Vector<fb::Offset<wire::Claim>>* aClaims) {
  std::vector<Claim> claims;
  if (aClaims != nullptr) {
    for (const wire::Claim* claim : *aClaims) {
      claims.push_back(ReadClaim(claim));
    }
  }
  return claims;
}

std::vector<std::string> ReadTexts(
    const fb::Vector<fb::Offset<fb::String>>* aTexts) {
  std::vector<std::string> texts;
  if (aTexts != nullptr) {
    for (const fb::String* text : *aTexts) {
      texts.push_back(TextOf(text));
    }
  }
  return texts;
}

GossipMessage ReadGossip(const wire::Gossip& aGossip) {
  GossipMessage gossip;
  gossip.vm = TextOf(aGossip.vm());
  gossip.member = TextOf(aGossip.member());
  gossip.failureDomain = TextOf(aGossip.failure_domain());
  gossip.address = TextOf(aGossip.address());
  gossip.revision = aGossip.revision();
  gossip.membersVersion = aGossip.members_version();
  gossip.stopping = aGossip.stopping();
  gossip.handedTo = TextOf(aGossip.handed_to());
  gossip.leaving = ReadTexts(aGossip.leaving());
  gossip.paused = ReadTexts(aGossip.paused());
  if (aGossip.loads() != nullptr) {
    for (const wire::UpstreamLoad* load : *aGossip.loads()) {
      gossip.loads.push_back({TextOf(load->name()), load->sequences(),
                              TextOf(load->version()), load->reachable()});
    }
  }
  if (aGossip.usages() != nullptr) {
    for (const wire::Usage* usage : *aGossip.usages()) {
      gossip.usages.push_back({usage->organisation(), usage->demand()});
    }
  }
  return gossip;
}

ClaimOrderMessage ReadOrder(const wire::ClaimOrder& aOrder) {
  ClaimOrderMessage order;
  order.round = aOrder.round();
  order.epoch = aOrder.epoch();
  order.step = static_cast<ClaimOrderMessage::Step>(aOrder.step());
  order.claim = ReadClaim(aOrder.claim());
  return order;
}

ClaimVoteMessage ReadVote(const wire::ClaimVote& aVote) {
  ClaimVoteMessage vote;
  vote.round = aVote.round();
  // An unknown kind is no grant.
  vote.vote.kind = aVote.kind() < kVoteNames.size()
                       ? static_cast<ClaimVote::Kind>(aVote.kind())
                       : ClaimVote::Kind::Closed;
  vote.vote.claim = ReadClaim(aVote.claim());
  return vote;
}

ConfigGiveMessage ReadGive(const wire::ConfigGive& aGive) {
  ConfigGiveMessage give;
  give.revision = aGive.revision();
  give.root = TextOf(aGive.root());
  if (aGive.pieces() != nullptr) {
    for (const wire::Piece* piece : *aGive.pieces()) {
      give.pieces.emplace_back(TextOf(piece->digest()), TextOf(piece->text()));
    }
  }
  return give;
}

}  // namespace

std::string WritePeerMessage(const PeerMessage& aMessage) {
  Builder builder(1024);
  const auto sender = builder.CreateString(aMessage.sender);
  const auto replyTo = builder.CreateString(aMessage.replyTo);
  const auto body = std::visit(BodyWriter(builder), aMessage.body);
  // The alternatives of the variant stand in the order of the union.
  const auto type = static_cast<wire::Body>(aMessage.body.index() + 1);
  builder.Finish(wire::CreateMessage(builder, sender, replyTo, type, body));
  return std::string(reinterpret_cast<const char*>(builder.GetBufferPointer()),
                     builder.GetSize());
}

Result<PeerMessage> ReadPeerMessage(std::string_view aBuffer) {
  const auto* bytes = reinterpret_cast<const std::uint8_t*>(aBuffer.data());
  fb::Verifier verifier(bytes, aBuffer.size());
  if (!wire::VerifyMessageBuffer(verifier)) {
    return Fail(ErrorKind::BadRequest, "not a peer message");
  }
  const wire::Message* message = wire::GetMessage(bytes);
  // The verifier passes a body that has a type and no table.
  if (message->body() == nullptr) {
    return Fail(ErrorKind::BadRequest, "a peer message without a body");
  }
  PeerMessage read;
  read.sender = TextOf(message->sender());
  read.replyTo = TextOf(message->reply_to());
  switch (message->body_type()) {
    case wire::Body_Gossip:
      read.body = ReadGossip(*message->body_as_Gossip());
      return read;
    case wire::Body_ClaimOrder:
      read.body = ReadOrder(*message->body_as_ClaimOrder());
      return read;
    case wire::Body_ClaimVote:
      read.body = ReadVote(*message->body_as_ClaimVote());
      return read;
    case wire::Body_ConfigWant:
      read.body = ConfigWantMessage{
          message->body_as_ConfigWant()->have_revision(),
          ReadTexts(message->body_as_ConfigWant()->have_digests())};
      return read;
    case wire::Body_ConfigGive:
      read.body = ReadGive(*message->body_as_ConfigGive());
      return read;
    case wire::Body_MembersGive:
      read.body =
          MembersGiveMessage{TextOf(message->body_as_MembersGive()->text())};
      return read;
    case wire::Body_MembersWant:
      read.body = MembersWantMessage{};
      return read;
    case wire::Body_HandOver:
      read.body =
          HandOverMessage{TextOf(message->body_as_HandOver()->from()),
                          ReadClaims(message->body_as_HandOver()->claims())};
      return read;
    case wire::Body_HandOverDone:
      read.body =
          HandOverDoneMessage{TextOf(message->body_as_HandOverDone()->from())};
      return read;
    case wire::Body_NONE:
      break;
  }
  return Fail(ErrorKind::BadRequest, "a peer message without a body");
}

}  // namespace zincstep
