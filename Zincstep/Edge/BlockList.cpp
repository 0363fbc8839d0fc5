#include "Zincstep/Edge/BlockList.h"

#include <nlohmann/json.hpp>

#include "Zincstep/Telemetry/Telemetry.h"

namespace zincstep {

namespace {

/// Pause after a write that failed: the daemons tell each other meanwhile.
constexpr Micros kRetryPause = 1s;
/// Requests that are listed at most, 20 kB: all daemons read the whole list
/// with each change. The others are blocked until the daemons end.
constexpr std::size_t kMostListed = 1000;
constexpr const char* kField = "blocked";

std::string TextFor(const std::set<RequestFingerprint>& aRequests) {
  nlohmann::json texts = nlohmann::json::array();
  for (const RequestFingerprint request : aRequests) {
    texts.push_back(TextOf(request));
  }
  return nlohmann::json{{kField, texts}}.dump();
}

std::optional<std::set<RequestFingerprint>> ParseList(
    const std::string& aText) {
  const auto json = nlohmann::json::parse(aText, nullptr, false);
  const bool isList =
      json.is_object() && json.contains(kField) && json.at(kField).is_array();
  if (!isList) {
    return std::nullopt;
  }
  std::set<RequestFingerprint> requests;
  for (const auto& one : json.at(kField)) {
    const auto request = one.is_string()
                             ? ParseFingerprint(one.get<std::string>())
                             : std::nullopt;
    if (!request) {
      return std::nullopt;
    }
    requests.insert(*request);
  }
  return requests;
}

}  // namespace

BlockList::BlockList(std::string aPrefix, AsyncStore& aStore,
                     CrashTracker& aLedger, const Clock& aClock)
    : prefix(std::move(aPrefix)),
      store(aStore),
      ledger(aLedger),
      clock(aClock) {}

void BlockList::OnEntries(const StoreItems& aItems) {
  const auto found = aItems.find(kKey);
  if (found != aItems.end()) {
    this->Take(found->second);
  }
}

void BlockList::Take(const StoreItem& aItem) {
  if (aItem.revision <= this->revision) {
    return;
  }
  this->revision = aItem.revision;
  const auto requests = ParseList(aItem.value);
  if (!requests) {
    LogWarning("block_list_refused", {{"revision", aItem.revision.number},
                                      {"reason", "not a list of requests"}});
    return;
  }
  LogInfo("block_list_read", {{"revision", aItem.revision.number},
                              {"requests", requests->size()}});
  this->listed = *requests;
  // What the copy lacks stays blocked, and is written again.
  std::set<RequestFingerprint> blocked = std::move(this->listedBefore);
  this->listedBefore.clear();
  blocked.insert(requests->begin(), requests->end());
  this->ledger.SetListed(blocked, this->clock.Now());
}

void BlockList::OnRestored() {
  this->listedBefore.insert(this->listed.begin(), this->listed.end());
  this->listed.clear();
  this->revision = {};
  this->isWriting = false;
}

void BlockList::Write() {
  const Instant now = this->clock.Now();
  if (this->isWriting || now < this->nextTry) {
    return;
  }
  std::set<RequestFingerprint> wanted = this->ledger.Blocked(now);
  while (wanted.size() > kMostListed) {
    wanted.erase(wanted.begin());
  }
  if (wanted == this->listed) {
    return;
  }
  this->isWriting = true;
  this->nextTry = now + kRetryPause;
  StoreChange change;
  change.key = this->prefix + kKey;
  change.expected = this->revision;
  change.value = TextFor(wanted);
  this->store.Commit(change, [this, wanted](Result<StoreCommit> aDone) {
    this->isWriting = false;
    if (aDone && aDone->done) {
      this->revision = aDone->revision;
      this->listed = wanted;
      this->nextTry = {};
      this->ledger.SetListed(wanted, this->clock.Now());
      LogInfo("block_list_written", {{"revision", aDone->revision.number},
                                     {"requests", wanted.size()}});
    } else if (aDone && aDone->present) {
      this->Take(*aDone->present);
    }
  });
}

}  // namespace zincstep
