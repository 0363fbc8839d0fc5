#pragma once

#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "Zincstep/Once/Claim.h"

namespace zincstep {

/// Settings of a witness table.
struct WitnessTableSettings {
  /// Time for which a key is kept after its last change.
  Micros retention = kKeyRetention;
  /// Maximum memory of all keys together, in bytes.
  std::size_t maxBytes = 64 << 20;
};

/// The claims that one daemon stores as a witness.
///
/// A witness grants a key to its first claimant, and returns that claim to
/// every other one. The table is in memory only; a key has several witnesses so
/// that it survives the loss of one. The table never evicts a key early but
/// refuses new ones when it is full, since an evicted key could let a request
/// run twice.
class WitnessTable {
 public:
  explicit WitnessTable(WitnessTableSettings aSettings) : settings(aSettings) {}

  /// Votes on a claim.
  ClaimVote Vote(const Claim& aClaim, Instant aNow);
  /// Removes a claim whose claimant certainly hasn't run the request, so that
  /// the key can be claimed again.
  void Release(const std::string& aKey, const Claimant& aClaimant);
  /// Records the result of a request that has ended.
  void Finish(const Claim& aClaim, Instant aNow);
  /// Removes the keys that have expired.
  void Expire(Instant aNow);
  /// Stops voting permanently and returns all claims, for the handover to
  /// another member.
  std::vector<Claim> Close();
  /// Adds the claims of a witness that has closed. A key that both witnesses
  /// granted to different claimants becomes `Unknown`.
  void Merge(const std::vector<Claim>& aClaims, Instant aNow);

  /// Number of keys.
  std::size_t Size() const { return this->entries.size(); }
  /// Estimated memory of all keys, in bytes.
  std::size_t Bytes() const { return this->bytes; }
  /// Whether `Close` was called.
  bool IsClosed() const { return this->closed; }

 private:
  struct Entry {
    Claim claim;
    Instant expiresAt;
  };
  struct Expiry {
    Instant at;
    std::string key;
  };

  static std::size_t SizeOf(const Claim& aClaim);
  void Put(const Claim& aClaim, Instant aNow);

  WitnessTableSettings settings;
  std::unordered_map<std::string, Entry> entries;
  /// In order of time; an entry that was updated has several expiries, of which
  /// the last one counts.
  std::deque<Expiry> expiries;
  std::size_t bytes = 0;
  bool closed = false;
};

}  // namespace zincstep
