#include "SoakTests/SoakStore.h"

#include <algorithm>

#include "platform/Json.h"

namespace zincstep::soak {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kGone = 410;
constexpr int kConditionFailed = 412;
constexpr int kUnavailable = 503;
/// Between backups, and how many are retained.
constexpr Micros kBackupInterval = 500ms;
constexpr std::size_t kMaxBackups = 24;

std::string Unescape(const std::string& aText) {
  std::string text;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '%' && i + 2 < aText.size()) {
      text += static_cast<char>(std::stoi(aText.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      text += aText[i];
    }
  }
  return text;
}

std::uint64_t ParseNumber(const std::string& aText) {
  return aText.empty() ? 0 : std::stoull(aText);
}

}  // namespace

SoakStore::SoakStore(asio::io_context& aLoop, const Clock& aClock)
    : clock(aClock), listener(aLoop, *this, aClock) {
  ZINCSTEP_ASSERT(this->listener.Start("127.0.0.1:0").has_value());
}

void SoakStore::Reply(CallerConnection& aConnection, int aStatus,
                      const Json& aBody) {
  aConnection.Answer(aStatus,
                     {{"Content-Type", "application/json"},
                      {"Store-Era", std::to_string(this->era)}},
                     aBody.dump());
}

void SoakStore::OnRequest(const std::shared_ptr<CallerConnection>& aConnection,
                          CallerMessage aMessage) {
  if (this->isDown) {
    this->Reply(*aConnection, kUnavailable, Json::object());
    return;
  }
  const std::string& target = aMessage.head.target;
  const std::size_t separator = target.find('?');
  const std::string path = target.substr(0, separator);
  const std::string query =
      separator == std::string::npos ? "" : target.substr(separator + 1);
  const Json body = Json::parse(aMessage.body, nullptr, false);
  if (path == "/kv-range") {
    this->Range(*aConnection, query);
  } else if (path == "/kv-watch") {
    this->Watch(aConnection, query);
  } else if (path == "/kv-txn") {
    this->Commit(*aConnection, body);
  } else if (path == "/kv-lease") {
    this->GrantLease(*aConnection, body);
  } else if (path.starts_with("/kv-keep/")) {
    this->RenewLease(*aConnection,
                     ParseNumber(path.substr(path.rfind('/') + 1)));
  } else if (path.starts_with("/kv-lease-end/")) {
    this->EndLease(ParseNumber(path.substr(path.rfind('/') + 1)));
    this->Reply(*aConnection, kOk, Json::object());
  } else {
    this->Reply(*aConnection, kNotFound, Json::object());
  }
}

void SoakStore::OnCallerDisconnected(CallerConnection& aConnection) {
  std::erase_if(this->pendingWatches, [&](const PendingWatch& aWatch) {
    return aWatch.connection.get() == &aConnection;
  });
}

SoakStore::Json SoakStore::EncodeItem(const std::string& aKey,
                                      const Item& aItem) const {
  return {{"privateKey", aKey},
          {"value", platform::EncodeBase64(aItem.value)},
          {"revision", aItem.revision},
          {"lease", aItem.lease}};
}

void SoakStore::Range(CallerConnection& aConnection,
                      const std::string& aQuery) {
  const std::string prefix = Unescape(QueryValue(aQuery, "pathPrefix"));
  Json encoded = Json::array();
  for (const auto& [key, item] : this->items) {
    if (key.starts_with(prefix)) {
      encoded.push_back(this->EncodeItem(key, item));
    }
  }
  this->Reply(aConnection, kOk,
              {{"items", encoded}, {"more", false}, {"at", this->revision}});
}

void SoakStore::Watch(const std::shared_ptr<CallerConnection>& aConnection,
                      const std::string& aQuery) {
  PendingWatch watch{
      aConnection, Unescape(QueryValue(aQuery, "pathPrefix")),
      ParseNumber(QueryValue(aQuery, "after")),
      this->clock.Now() + Micros{1000 * static_cast<std::int64_t>(ParseNumber(
                                            QueryValue(aQuery, "waitMs")))}};
  if (watch.after < this->historyFrom || watch.after > this->revision) {
    this->Reply(*aConnection, kGone, Json::object());
    return;
  }
  if (!this->Notify(watch, false)) {
    this->pendingWatches.push_back(std::move(watch));
  }
}

bool SoakStore::Notify(const PendingWatch& aWatch, bool aHasExpired) {
  Json events = Json::array();
  for (const Change& change : this->history) {
    if (change.revision <= aWatch.after ||
        !change.key.starts_with(aWatch.prefix)) {
      continue;
    }
    Json event{{"privateKey", change.key}, {"revision", change.revision}};
    if (change.value) {
      event["value"] = platform::EncodeBase64(*change.value);
    } else {
      event["gone"] = true;
    }
    events.push_back(std::move(event));
  }
  if (aWatch.connection->IsClosed()) {
    return true;
  }
  if (events.empty() && !aHasExpired) {
    return false;
  }
  this->Reply(*aWatch.connection, kOk,
              {{"events", events}, {"at", this->revision}});
  return true;
}

void SoakStore::NotifyAll() {
  const Instant now = this->clock.Now();
  std::vector<PendingWatch> all;
  all.swap(this->pendingWatches);
  for (PendingWatch& watch : all) {
    if (!this->Notify(watch, now >= watch.expiresAt)) {
      this->pendingWatches.push_back(std::move(watch));
    }
  }
}

void SoakStore::Commit(CallerConnection& aConnection, const Json& aBody) {
  bool isMatch = true;
  Json current = Json::array();
  for (const Json& one : aBody.at("expectedRevision")) {
    const std::string key = one.at("privateKey");
    const auto found = this->items.find(key);
    const std::uint64_t revision =
        found == this->items.end() ? 0 : found->second.revision;
    isMatch = isMatch && revision == one.at("revision").get<std::uint64_t>();
    if (found != this->items.end()) {
      current.push_back(this->EncodeItem(key, found->second));
    }
  }
  if (!isMatch) {
    this->Reply(aConnection, kConditionFailed, {{"items", current}});
    return;
  }
  for (const Json& one : aBody.at("put")) {
    const std::uint64_t lease = one.value("lease", 0ULL);
    if (lease != 0 && !this->leases.contains(lease)) {
      this->Reply(aConnection, kNotFound, Json::object());
      return;
    }
    this->Set(
        one.at("privateKey"),
        platform::DecodeBase64(one.at("value").get<std::string>()).value_or(""),
        lease);
  }
  for (const Json& key : aBody.at("delete")) {
    this->Remove(key);
  }
  if (this->dropsResponses && !aBody.at("put").empty()) {
    aConnection.Abort();
  } else {
    this->Reply(aConnection, kOk, {{"revision", this->revision}});
  }
  this->NotifyAll();
}

void SoakStore::GrantLease(CallerConnection& aConnection, const Json& aBody) {
  const Micros ttl = Micros{1000 * aBody.at("ttl_ms").get<std::int64_t>()};
  this->lastLease += 1;
  this->leases[this->lastLease] = {ttl, this->clock.Now() + ttl};
  this->Reply(aConnection, kOk,
              {{"lease", this->lastLease}, {"ttl_ms", ttl / 1ms}});
}

void SoakStore::RenewLease(CallerConnection& aConnection,
                           std::uint64_t aLease) {
  const auto found = this->leases.find(aLease);
  if (found == this->leases.end()) {
    this->Reply(aConnection, kNotFound, Json::object());
    return;
  }
  found->second.expiresAt = this->clock.Now() + found->second.ttl;
  this->Reply(aConnection, kOk, Json::object());
}

void SoakStore::EndLease(std::uint64_t aLease) {
  this->leases.erase(aLease);
  std::vector<std::string> keys;
  for (const auto& [key, item] : this->items) {
    if (item.lease == aLease) {
      keys.push_back(key);
    }
  }
  for (const std::string& key : keys) {
    this->Remove(key);
  }
}

void SoakStore::Set(const std::string& aKey, const std::string& aValue,
                    std::uint64_t aLease) {
  this->revision += 1;
  this->items[aKey] = {aValue, this->revision, aLease};
  this->history.push_back({aKey, this->revision, aValue});
}

void SoakStore::Put(const std::string& aKey, const std::string& aValue) {
  this->externalValues[aKey] = aValue;
  this->Set(aKey, aValue, 0);
  this->NotifyAll();
}

void SoakStore::Remove(const std::string& aKey) {
  if (this->externalValues.contains(aKey)) {
    this->externalValues[aKey].reset();
  }
  if (this->items.erase(aKey) > 0) {
    this->revision += 1;
    this->history.push_back({aKey, this->revision, std::nullopt});
    this->NotifyAll();
  }
}

void SoakStore::TakeBackup(Instant aNow) {
  if (aNow < this->nextBackup) {
    return;
  }
  this->nextBackup = aNow + kBackupInterval;
  this->backups.push_back({aNow, this->items, this->leases, this->revision});
  if (this->backups.size() > kMaxBackups) {
    this->backups.erase(this->backups.begin());
  }
}

void SoakStore::Restore(Micros aAge, Micros aRewrite, Random& aRandom) {
  const Instant now = this->clock.Now();
  const auto oldest = std::find_if(
      this->backups.begin(), this->backups.end(),
      [&](const Backup& aBackup) { return now - aBackup.at <= aAge; });
  if (oldest == this->backups.end()) {
    return;
  }
  const Backup backup = *oldest;
  this->backups.erase(oldest + 1, this->backups.end());
  this->items = backup.items;
  this->leases = backup.leases;
  this->revision = backup.revision;
  this->era += 1;
  this->history.clear();
  this->historyFrom = this->revision;
  std::vector<PendingWatch> all;
  all.swap(this->pendingWatches);
  for (const PendingWatch& watch : all) {
    this->Reply(*watch.connection, kGone, Json::object());
  }
  for (const auto& [key, value] : this->externalValues) {
    const Micros after{static_cast<std::int64_t>(
        aRandom.Unit() * static_cast<double>(aRewrite.count()))};
    this->rewrites.push_back({now + after, key});
  }
}

void SoakStore::ApplyRewrites(Instant aNow) {
  std::vector<Rewrite> due;
  std::erase_if(this->rewrites, [&](const Rewrite& aOne) {
    if (aNow >= aOne.at) {
      due.push_back(aOne);
    }
    return aNow >= aOne.at;
  });
  for (const Rewrite& one : due) {
    const std::optional<std::string> value = this->externalValues[one.key];
    const auto found = this->items.find(one.key);
    if (!value) {
      this->Remove(one.key);
    } else if (found == this->items.end() || found->second.value != *value) {
      this->Put(one.key, *value);
    }
  }
}

void SoakStore::Tick() {
  const Instant now = this->clock.Now();
  this->TakeBackup(now);
  if (!this->isDown) {
    this->ApplyRewrites(now);
  }
  std::vector<std::uint64_t> expired;
  for (const auto& [lease, state] : this->leases) {
    if (now >= state.expiresAt && !this->isDown) {
      expired.push_back(lease);
    }
  }
  for (const std::uint64_t lease : expired) {
    this->EndLease(lease);
  }
  this->NotifyAll();
}

}  // namespace zincstep::soak
