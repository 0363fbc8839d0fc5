#include "Zincstep/Peer/PeerMessage.h"

#include "Zincstep/Peer/Generated/Peer_generated.h"

namespace zincstep {

namespace {

namespace fb = flatbuffers;

using Builder = fb::FlatBufferBuilder;

std::string ToString(const fb::String* aText) {
  return aText == nullptr ? std::string() : aText->str();
}

/// Writes a message body and returns the offset of its table.
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
    const auto claim = this->WriteClaim(aOrder.claim);
    return wire::CreateClaimOrder(this->builder, aOrder.round, aOrder.epoch,
                                  static_cast<wire::ClaimStep>(aOrder.step),
                                  claim)
        .Union();
  }

  fb::Offset<void> operator()(const ClaimVoteMessage& aVote) {
    const auto claim = this->WriteClaim(aVote.vote.claim);
    return wire::CreateClaimVote(this->builder, aVote.round,
                                 static_cast<std::uint8_t>(aVote.vote.kind),
                                 claim)
        .Union();
  }

  fb::Offset<void> operator()(const ConfigWantMessage& aMessage) {
    const auto digests =
        this->builder.CreateVectorOfStrings(aMessage.haveDigests);
    return wire::CreateConfigWant(this->builder, aMessage.haveRevision, digests)
        .Union();
  }

  fb::Offset<void> operator()(const ConfigGiveMessage& aMessage) {
    std::vector<fb::Offset<wire::Piece>> pieces;
    for (const auto& [digest, text] : aMessage.pieces) {
      pieces.push_back(
          wire::CreatePieceDirect(this->builder, digest.c_str(), text.c_str()));
    }
    return wire::CreateConfigGiveDirect(this->builder, aMessage.revision,
                                        aMessage.root.c_str(), &pieces)
        .Union();
  }

  fb::Offset<void> operator()(const MembersGiveMessage& aMessage) {
    return wire::CreateMembersGiveDirect(this->builder, aMessage.text.c_str())
        .Union();
  }

  fb::Offset<void> operator()(const MembersWantMessage&) {
    return wire::CreateMembersWant(this->builder).Union();
  }

  fb::Offset<void> operator()(const HandOverMessage& aHandOver) {
    std::vector<fb::Offset<wire::Claim>> claims;
    for (const Claim& claim : aHandOver.claims) {
      claims.push_back(this->WriteClaim(claim));
    }
    return wire::CreateHandOverDirect(this->builder, aHandOver.from.c_str(),
                                      &claims)
        .Union();
  }

  fb::Offset<void> operator()(const HandOverDoneMessage& aMessage) {
    return wire::CreateHandOverDoneDirect(this->builder, aMessage.from.c_str())
        .Union();
  }

 private:
  fb::Offset<wire::Claim> WriteClaim(const Claim& aClaim) {
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
  claim.key = ToString(aClaim->key());
  claim.digest = aClaim->digest();
  claim.claimant = {ToString(aClaim->member()), aClaim->request()};
  // An unknown state is read as `Unknown`, the most cautious one.
  claim.state = aClaim->state() < kClaimStateNames.size()
                    ? static_cast<ClaimState>(aClaim->state())
                    : ClaimState::Unknown;
  claim.response.status = aClaim->status();
  claim.response.contentType = ToString(aClaim->content_type());
  claim.response.body = ToString(aClaim->body());
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

std::vector<std::string> ReadStrings(
    const fb::Vector<fb::Offset<fb::String>>* aStrings) {
  std::vector<std::string> strings;
  if (aStrings != nullptr) {
    for (const fb::String* text : *aStrings) {
      strings.push_back(ToString(text));
    }
  }
  return strings;
}

GossipMessage ReadGossip(const wire::Gossip& aGossip) {
  GossipMessage gossip;
  gossip.vm = ToString(aGossip.vm());
  gossip.member = ToString(aGossip.member());
  gossip.failureDomain = ToString(aGossip.failure_domain());
  gossip.address = ToString(aGossip.address());
  gossip.revision = aGossip.revision();
  gossip.membersVersion = aGossip.members_version();
  gossip.stopping = aGossip.stopping();
  gossip.handedTo = ToString(aGossip.handed_to());
  gossip.leaving = ReadStrings(aGossip.leaving());
  gossip.paused = ReadStrings(aGossip.paused());
  if (aGossip.loads() != nullptr) {
    for (const wire::UpstreamLoad* load : *aGossip.loads()) {
      gossip.loads.push_back({ToString(load->name()), load->sequences(),
                              ToString(load->version()), load->reachable()});
    }
  }
  if (aGossip.usages() != nullptr) {
    for (const wire::Usage* usage : *aGossip.usages()) {
      gossip.usages.push_back({usage->organisation(), usage->demand()});
    }
  }
  return gossip;
}

ClaimOrderMessage ReadClaimOrder(const wire::ClaimOrder& aOrder) {
  ClaimOrderMessage order;
  order.round = aOrder.round();
  order.epoch = aOrder.epoch();
  order.step = static_cast<ClaimOrderMessage::Step>(aOrder.step());
  order.claim = ReadClaim(aOrder.claim());
  return order;
}

ClaimVoteMessage ReadClaimVote(const wire::ClaimVote& aVote) {
  ClaimVoteMessage vote;
  vote.round = aVote.round();
  // An unknown kind must not count as a grant.
  vote.vote.kind = aVote.kind() < kVoteNames.size()
                       ? static_cast<ClaimVote::Kind>(aVote.kind())
                       : ClaimVote::Kind::Closed;
  vote.vote.claim = ReadClaim(aVote.claim());
  return vote;
}

ConfigGiveMessage ReadConfig(const wire::ConfigGive& aMessage) {
  ConfigGiveMessage config;
  config.revision = aMessage.revision();
  config.root = ToString(aMessage.root());
  if (aMessage.pieces() != nullptr) {
    for (const wire::Piece* piece : *aMessage.pieces()) {
      config.pieces.emplace_back(ToString(piece->digest()),
                                 ToString(piece->text()));
    }
  }
  return config;
}

}  // namespace

std::string WritePeerMessage(const PeerMessage& aMessage) {
  Builder builder(1024);
  const auto sender = builder.CreateString(aMessage.sender);
  const auto replyTo = builder.CreateString(aMessage.replyTo);
  const auto body = std::visit(BodyWriter(builder), aMessage.body);
  // The alternatives of `PeerBody` have the order of the union in Peer.fbs.
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
  // The verifier accepts a body type without a table.
  if (message->body() == nullptr) {
    return Fail(ErrorKind::BadRequest, "peer message without a body");
  }
  PeerMessage result;
  result.sender = ToString(message->sender());
  result.replyTo = ToString(message->reply_to());
  switch (message->body_type()) {
    case wire::Body_Gossip:
      result.body = ReadGossip(*message->body_as_Gossip());
      return result;
    case wire::Body_ClaimOrder:
      result.body = ReadClaimOrder(*message->body_as_ClaimOrder());
      return result;
    case wire::Body_ClaimVote:
      result.body = ReadClaimVote(*message->body_as_ClaimVote());
      return result;
    case wire::Body_ConfigWant:
      result.body = ConfigWantMessage{
          message->body_as_ConfigWant()->have_revision(),
          ReadStrings(message->body_as_ConfigWant()->have_digests())};
      return result;
    case wire::Body_ConfigGive:
      result.body = ReadConfig(*message->body_as_ConfigGive());
      return result;
    case wire::Body_MembersGive:
      result.body =
          MembersGiveMessage{ToString(message->body_as_MembersGive()->text())};
      return result;
    case wire::Body_MembersWant:
      result.body = MembersWantMessage{};
      return result;
    case wire::Body_HandOver:
      result.body =
          HandOverMessage{ToString(message->body_as_HandOver()->from()),
                          ReadClaims(message->body_as_HandOver()->claims())};
      return result;
    case wire::Body_HandOverDone:
      result.body = HandOverDoneMessage{
          ToString(message->body_as_HandOverDone()->from())};
      return result;
    case wire::Body_NONE:
      break;
  }
  return Fail(ErrorKind::BadRequest, "peer message without a body");
}

}  // namespace zincstep
