#include "Zincstep/Edge/BlockList.h"

#include <algorithm>

#include "Zincstep/Core/ForeignJson.h"
#include "Zincstep/Telemetry/Telemetry.h"

namespace zincstep {

namespace {

/// Interval after a failed write. Meanwhile the daemons inform each other
/// directly.
constexpr Micros kRetryInterval = 1s;
/// Maximum number of listed requests, 20 kB: all daemons read the full list
/// with each change. Further requests stay blocked until the daemons stop.
constexpr std::size_t kMaxListed = 1000;
/// Time from the start after which requests run without the list: the store may
/// be away.
constexpr Micros kMaxStartWait = 1s;
/// Maximum number of requests that are listed with suspected crashes.
constexpr std::size_t kMaxHeldBack = 64;
/// Minimum interval between writes that change only suspected crashes.
constexpr Micros kSuspicionInterval = 500ms;
constexpr const char* kBlockedField = "blocked";
constexpr const char* kSuspectedField = "suspected";

std::string EncodeList(const BlockList::Content& aContent) {
  nlohmann::json blocked = nlohmann::json::array();
  for (const Fingerprint request : aContent.blocked) {
    blocked.push_back(TextOf(request));
  }
  nlohmann::json list{{kBlockedField, blocked}};
  for (const auto& [request, upstreams] : aContent.suspected) {
    list[kSuspectedField][TextOf(request)] = upstreams;
  }
  return WriteJson(list);
}

std::optional<std::set<Fingerprint>> ParseBlocked(const nlohmann::json& aList) {
  const bool isList = aList.is_object() && aList.contains(kBlockedField) &&
                      aList.at(kBlockedField).is_array();
  if (!isList) {
    return std::nullopt;
  }
  std::set<Fingerprint> requests;
  for (const auto& element : aList.at(kBlockedField)) {
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

/// Parses the suspected crashes; older daemons write none.
std::optional<SuspectedCrashes> ParseSuspected(const nlohmann::json& aList) {
  SuspectedCrashes suspected;
  const auto found = aList.find(kSuspectedField);
  if (found == aList.end()) {
    return suspected;
  }
  if (!found->is_object()) {
    return std::nullopt;
  }
  for (const auto& [text, upstreams] : found->items()) {
    const auto request = ParseFingerprint(text);
    const bool areNumbers =
        upstreams.is_array() &&
        std::all_of(upstreams.begin(), upstreams.end(),
                    [](const auto& aOne) { return aOne.is_number_unsigned(); });
    if (!request || !areNumbers) {
      return std::nullopt;
    }
    suspected[*request] = upstreams.template get<std::set<std::uint64_t>>();
  }
  return suspected;
}

std::optional<BlockList::Content> ParseList(const std::string& aText) {
  const auto json =
      ParseForeignJson(aText, JsonLimits{.maxBytes = kMaxEntryBytes});
  const auto blocked = json ? ParseBlocked(*json) : std::nullopt;
  const auto suspected = blocked ? ParseSuspected(*json) : std::nullopt;
  return suspected ? std::optional<BlockList::Content>({*blocked, *suspected})
                   : std::nullopt;
}

}  // namespace

BlockList::BlockList(std::string aPrefix, AsyncStore& aStore,
                     CrashTracker& aCrashes, const Clock& aClock)
    : prefix(std::move(aPrefix)),
      store(aStore),
      crashes(aCrashes),
      clock(aClock) {}

void BlockList::ReadAtStart() {
  this->crashes.AwaitBlockList(this->clock.Now() + kMaxStartWait);
  const std::string key = this->prefix + kKey;
  this->store.RangeStale(
      key, StalePages::First, [this, key](Result<StoreRange> aRange) {
        if (!aRange) {
          LogWarning("block_list_unread", {{"reason", aRange.error().message}});
        }
        const std::vector<StoreItem> items =
            aRange ? std::move(aRange->items) : std::vector<StoreItem>();
        const auto found = std::find_if(
            items.begin(), items.end(),
            [&](const StoreItem& aItem) { return aItem.key == key; });
        if (found != items.end()) {
          this->ApplyEntry(*found);
        }
        this->crashes.OnBlockListRead();
      });
}

void BlockList::OnEntries(const StoreItems& aItems) {
  this->crashes.OnBlockListRead();
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
  const auto content = ParseList(aItem.value);
  if (!content) {
    this->refusedEntries += 1;
    LogWarning("block_list_refused", {{"key", this->prefix + kKey},
                                      {"revision", aItem.revision.number},
                                      {"reason", "not a list of requests"}});
    return;
  }
  LogInfo("block_list_read", {{"revision", aItem.revision.number},
                              {"requests", content->blocked.size()},
                              {"suspected", content->suspected.size()}});
  this->listed = *content;
  // Blocks that the backup lacks stay active and are written again.
  std::set<Fingerprint> blocked = std::move(this->listedBeforeRestore);
  this->listedBeforeRestore.clear();
  blocked.insert(content->blocked.begin(), content->blocked.end());
  this->crashes.SetBlockList(blocked, this->clock.Now());
  this->crashes.SetListedSuspicions(content->suspected, this->clock.Now());
}

void BlockList::OnRestored() {
  this->listedBeforeRestore.insert(this->listed.blocked.begin(),
                                   this->listed.blocked.end());
  this->listed = {};
  this->revision = {};
  this->isWriting = false;
}

BlockList::Content BlockList::Current(Instant aNow) const {
  Content content{this->crashes.Blocked(aNow), this->crashes.HeldBack(aNow)};
  while (content.blocked.size() > kMaxListed) {
    content.blocked.erase(content.blocked.begin());
  }
  while (content.suspected.size() > kMaxHeldBack) {
    content.suspected.erase(content.suspected.begin());
  }
  return content;
}

void BlockList::Write() {
  const Instant now = this->clock.Now();
  if (this->isWriting || now < this->nextAttempt) {
    return;
  }
  const Content content = this->Current(now);
  const bool isDue = content.blocked != this->listed.blocked ||
                     now >= this->nextSuspicionWrite;
  if (content == this->listed || !isDue) {
    return;
  }
  this->isWriting = true;
  this->nextAttempt = now + kRetryInterval;
  this->nextSuspicionWrite = now + kSuspicionInterval;
  StoreChange change;
  change.key = this->prefix + kKey;
  change.expected = this->revision;
  change.value = EncodeList(content);
  this->store.Commit(change, [this, content](Result<StoreCommit> aResult) {
    this->isWriting = false;
    if (aResult && aResult->done) {
      this->revision = aResult->revision;
      this->listed = content;
      this->nextAttempt = {};
      const Instant writtenAt = this->clock.Now();
      this->crashes.SetBlockList(content.blocked, writtenAt);
      this->crashes.SetListedSuspicions(content.suspected, writtenAt);
      LogInfo("block_list_written", {{"revision", aResult->revision.number},
                                     {"requests", content.blocked.size()},
                                     {"suspected", content.suspected.size()}});
    } else if (aResult && aResult->present) {
      this->ApplyEntry(*aResult->present);
    }
  });
}

}  // namespace zincstep
