#pragma once

#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "Zincstep/Once/Claim.h"

namespace zincstep {

/// Settings of a witness table.
struct WitnessTableSettings {
  Micros memory = kKeyRetention;
  /// Bytes that all keys together may take.
  std::size_t maxBytes = 64 << 20;
};

/// What one daemon remembers, as a witness, of the keys of requests.
///
/// The first claimant of a key gets it; every other one is told who has
/// it. The table lives in memory only, which is why a key has several
/// witnesses. It never forgets a key early to make room: it refuses new
/// ones, since forgetting could let a request run twice.
class WitnessTable {
 public:
  explicit WitnessTable(WitnessTableSettings aSettings) : settings(aSettings) {}

  /// Votes on a claim.
  ClaimVote Ask(const Claim& aClaim, Instant aNow);
  /// The claimant has certainly not run the request: the key is free again.
  void Release(const std::string& aKey, const Claimant& aClaimant);
  /// The claimant's request has ended.
  void Finish(const Claim& aClaim, Instant aNow);
  /// Forgets the keys whose time has passed.
  void Expire(Instant aNow);
  /// Stops voting for good and gives all claims, to be handed over.
  std::vector<Claim> Close();
  /// Takes over claims of a witness that has closed.
  void Adopt(const std::vector<Claim>& aClaims, Instant aNow);

  std::size_t Size() const { return this->entries.size(); }
  std::size_t Bytes() const { return this->bytes; }
  bool IsClosed() const { return this->closed; }

 private:
  struct Entry {
    Claim claim;
    Instant until;
  };
  struct Expiry {
    Instant at;
    std::string key;
  };

  static std::size_t SizeOf(const Claim& aClaim);
  void Put(const Claim& aClaim, Instant aNow);

  WitnessTableSettings settings;
  std::unordered_map<std::string, Entry> entries;
  /// In the order of time; an entry that was renewed has a later one too.
  std::deque<Expiry> expiries;
  std::size_t bytes = 0;
  bool closed = false;
};

}  // namespace zincstep
