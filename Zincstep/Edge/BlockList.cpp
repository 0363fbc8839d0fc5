#include "Zincstep/Edge/BlockList.h"

#include <nlohmann/json.hpp>

#include "Zincstep/Telemetry/Telemetry.h"

namespace zincstep {

namespace {

/// Interval after a failed write. Meanwhile the daemons inform each other
/// directly.
constexpr Micros kRetryInterval = 1s;
/// Maximum number of listed requests, 20 kB: all daemons read the full list
/// with each change. Further requests stay blocked until the daemons stop.
constexpr std::size_t kMaxListed = 1000;
constexpr const char* kField = "blocked";

std::string EncodeList(const std::set<Fingerprint>& aRequests) {
  nlohmann::json texts = nlohmann::json::array();
  for (const Fingerprint request : aRequests) {
    texts.push_back(TextOf(request));
  }
  return nlohmann::json{{kField, texts}}.dump();
}

std::optional<std::set<Fingerprint>> ParseList(const std::string& aText) {
  const auto json = nlohmann::json::parse(aText, nullptr, false);
  const bool isList =
      json.is_object() && json.contains(kField) && json.at(kField).is_array();
  if (!isList) {
    return std::nullopt;
  }
  std::set<Fingerprint> requests;
  for (const auto& element : json.at(kField)) {
    const auto request = element.is_string()
                             ? ParseFingerprint(element.get<std::string>())
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
                     CrashTracker& aCrashes, const Clock& aClock)
    : prefix(std::move(aPrefix)),
      store(aStore),
      crashes(aCrashes),
      clock(aClock) {}

void BlockList::OnEntries(const StoreItems& aItems) {
  const auto found = aItems.find(kKey);
  if (found != aItems.end()) {
    this->ApplyEntry(found->second);
  }
}

void BlockList::ApplyEntry(const StoreItem& aItem) {
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
  // Blocks that the backup lacks stay active and are written again.
  std::set<Fingerprint> blocked = std::move(this->listedBeforeRestore);
  this->listedBeforeRestore.clear();
  blocked.insert(requests->begin(), requests->end());
  this->crashes.SetBlockList(blocked, this->clock.Now());
}

void BlockList::OnRestored() {
  this->listedBeforeRestore.insert(this->listed.begin(), this->listed.end());
  this->listed.clear();
  this->revision = {};
  this->isWriting = false;
}

void BlockList::Write() {
  const Instant now = this->clock.Now();
  if (this->isWriting || now < this->nextAttempt) {
    return;
  }
  std::set<Fingerprint> blocked = this->crashes.Blocked(now);
  while (blocked.size() > kMaxListed) {
    blocked.erase(blocked.begin());
  }
  if (blocked == this->listed) {
    return;
  }
  this->isWriting = true;
  this->nextAttempt = now + kRetryInterval;
  StoreChange change;
  change.key = this->prefix + kKey;
  change.expected = this->revision;
  change.value = EncodeList(blocked);
  this->store.Commit(change, [this, blocked](Result<StoreCommit> aResult) {
    this->isWriting = false;
    if (aResult && aResult->done) {
      this->revision = aResult->revision;
      this->listed = blocked;
      this->nextAttempt = {};
      this->crashes.SetBlockList(blocked, this->clock.Now());
      LogInfo("block_list_written", {{"revision", aResult->revision.number},
                                     {"requests", blocked.size()}});
    } else if (aResult && aResult->present) {
      this->ApplyEntry(*aResult->present);
    }
  });
}

}  // namespace zincstep
