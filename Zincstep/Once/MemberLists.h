#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Zincstep/Core/Core.h"

namespace zincstep {

/// One running entry daemon; after a restart it is a different member.
struct Member {
  /// VM and incarnation, such as `entry-a1/5f3c`.
  std::string name;
  std::string failureDomain;
  std::string peerAddress;

  bool operator==(const Member&) const = default;
};

/// One agreed list of members. Its epoch rises with each new list.
struct MemberList {
  std::uint64_t epoch = 0;
  std::vector<Member> members;
};

/// The agreed member lists of one region: the newest and the older ones still
/// in use.
///
/// The daemons agree on the lists through the key-value service. Lists change
/// rarely, and only when the VM list or a new incarnation shows that a member
/// is gone. A replaced list stays in use for `kKeyRetention`.
struct MemberLists {
  /// Rises with every change; the higher version is the newer one.
  std::uint64_t version = 0;
  /// Newest first.
  std::vector<MemberList> lists;
  /// Members that have stopped, each with the member that took over its claims.
  std::map<std::string, std::string> handedTo;

  /// Epoch of the newest list, 0 if there is none.
  std::uint64_t Epoch() const {
    return this->lists.empty() ? 0 : this->lists.front().epoch;
  }
  /// The member that votes for `aName`: itself, or the one that took over its
  /// claims.
  std::string Resolve(const std::string& aName) const;
  /// The member of that name in any list, or null.
  const Member* Find(const std::string& aName) const;
};

/// Encodes the lists as JSON.
std::string WriteMemberLists(const MemberLists& aLists);
/// Parses the JSON of `WriteMemberLists`; fails with `Internal`.
Result<MemberLists> ReadMemberLists(const std::string& aText);

/// Number of witnesses of a key in each list, if it has as many members.
inline constexpr std::size_t kWitnesses = 3;

/// Selects the witnesses of a key in one list, by rendezvous hashing.
///
/// Witnesses are spread over failure domains: the domains are ranked by their
/// scores, and each in turn contributes its member with the next highest score.
/// With three or more domains, the loss of one costs a key at most one witness.
std::vector<std::string> WitnessesOf(const MemberList& aList,
                                     const std::string& aKey);

}  // namespace zincstep
