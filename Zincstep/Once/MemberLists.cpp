#include "Zincstep/Once/MemberLists.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "Zincstep/Core/ForeignJson.h"

namespace zincstep {

namespace {

using Json = nlohmann::json;

/// Maximum number of handovers that `Resolve` follows; bounds the loop if the
/// entries form a cycle.
constexpr int kMaxHandovers = 64;

/// A name with its rendezvous score; sorts by descending score.
struct ScoredName {
  std::uint64_t score = 0;
  std::string name;

  bool operator<(const ScoredName& aOther) const {
    return this->score != aOther.score ? this->score > aOther.score
                                       : this->name < aOther.name;
  }
};

}  // namespace

std::string MemberLists::Resolve(const std::string& aName) const {
  std::string name = aName;
  for (int i = 0; i < kMaxHandovers; ++i) {
    const auto next = this->handedTo.find(name);
    if (next == this->handedTo.end()) {
      break;
    }
    name = next->second;
  }
  return name;
}

const Member* MemberLists::Find(const std::string& aName) const {
  for (const MemberList& list : this->lists) {
    for (const Member& member : list.members) {
      if (member.name == aName) {
        return &member;
      }
    }
  }
  return nullptr;
}

std::string WriteMemberLists(const MemberLists& aLists) {
  Json lists = Json::array();
  for (const MemberList& list : aLists.lists) {
    Json members = Json::array();
    for (const Member& member : list.members) {
      members.push_back(
          {member.name, member.failureDomain, member.peerAddress});
    }
    lists.push_back({{"epoch", list.epoch}, {"members", std::move(members)}});
  }
  return Json{{"version", aLists.version},
              {"lists", std::move(lists)},
              {"handed_to", aLists.handedTo}}
      .dump();
}

Result<MemberLists> ReadMemberLists(const std::string& aText) {
  try {
    const Json json = ParseForeignJsonOrThrow(aText);
    MemberLists lists;
    lists.version = json.at("version").get<std::uint64_t>();
    for (const Json& item : json.at("lists")) {
      MemberList list;
      list.epoch = item.at("epoch").get<std::uint64_t>();
      for (const Json& member : item.at("members")) {
        list.members.push_back({member.at(0).get<std::string>(),
                                member.at(1).get<std::string>(),
                                member.at(2).get<std::string>()});
      }
      lists.lists.push_back(std::move(list));
    }
    lists.handedTo =
        json.at("handed_to").get<std::map<std::string, std::string>>();
    return lists;
  } catch (const Json::exception& error) {
    return Fail(ErrorKind::Internal,
                std::string("cannot parse the member lists: ") + error.what());
  }
}

std::vector<std::string> WitnessesOf(const MemberList& aList,
                                     const std::string& aKey) {
  const std::uint64_t key = Hash64(aKey);
  std::map<std::string, std::vector<ScoredName>> byDomain;
  for (const Member& member : aList.members) {
    byDomain[member.failureDomain].push_back(
        {RendezvousScore(key, member.name), member.name});
  }
  std::vector<ScoredName> domains;
  for (auto& [domain, members] : byDomain) {
    std::sort(members.begin(), members.end());
    domains.push_back({RendezvousScore(key, domain), domain});
  }
  std::sort(domains.begin(), domains.end());
  std::vector<std::string> witnesses;
  for (std::size_t round = 0; witnesses.size() < kWitnesses; ++round) {
    const std::size_t previousCount = witnesses.size();
    for (const ScoredName& domain : domains) {
      const std::vector<ScoredName>& members = byDomain[domain.name];
      if (round < members.size() && witnesses.size() < kWitnesses) {
        witnesses.push_back(members[round].name);
      }
    }
    if (witnesses.size() == previousCount) {
      break;
    }
  }
  return witnesses;
}

}  // namespace zincstep
