#include "StandIns/PlatformStandIn.h"

#include <nlohmann/json.hpp>

namespace zincstep::standins {

namespace {

using Json = nlohmann::json;

constexpr std::string_view kKeyPath = "/v1/kv/";
constexpr std::string_view kWatchPath = "/v1/watch/";
constexpr std::size_t kMaxValueBytes = 1 << 20;

Json ToJson(const StoredValue& aValue) {
  return {{"value", aValue.value}, {"revision", aValue.revision}};
}

}  // namespace

PlatformStandIn::PlatformStandIn(const std::string& aAddress, Micros aVmListLag,
                                 std::uint64_t aSeed)
    : store(this->clock),
      random(aSeed),
      vmListLag(aVmListLag),
      server(aAddress,
             [this](const HttpRequest& aRequest) { this->Handle(aRequest); }) {}

bool PlatformStandIn::IsWrite(const HttpRequest& aRequest) const {
  return aRequest.method != "GET";
}

bool PlatformStandIn::IsWithinLimits(bool aIsWrite) {
  std::deque<Instant>& recent =
      aIsWrite ? this->recentWrites : this->recentReads;
  const double limit =
      aIsWrite ? this->faults.writeLimit : this->faults.readLimit;
  const Instant now = this->clock.Now();
  while (!recent.empty() && now - recent.front() >= 1s) {
    recent.pop_front();
  }
  if (limit > 0 && static_cast<double>(recent.size()) >= limit) {
    return false;
  }
  recent.push_back(now);
  return true;
}

void PlatformStandIn::Handle(const HttpRequest& aRequest) {
  if (aRequest.path == "/v1/faults") {
    this->HandleFaults(aRequest);
    return;
  }
  if (aRequest.path == "/v1/counts") {
    this->HandleCounts(aRequest);
    return;
  }
  const bool isWatch = aRequest.path.starts_with(kWatchPath);
  const bool isWrite = this->IsWrite(aRequest);
  (isWatch ? this->counts.watches
           : (isWrite ? this->counts.writes : this->counts.reads)) += 1;
  // The User-Agent header of a caller ends with its failure domain, which
  // decides whether the call is partitioned.
  const std::string caller(FindHeader(aRequest.headers, "User-Agent"));
  const bool isPartitioned = this->faults.partitionedDomains.contains(
      caller.substr(caller.find('/') + 1));
  if (this->faults.outage || isPartitioned || !this->IsWithinLimits(isWrite)) {
    this->counts.refused += 1;
    this->Respond(aRequest.exchange, 503, "{}");
    return;
  }
  if (this->faults.delay == 0us) {
    this->Serve(aRequest);
    return;
  }
  this->server.RunAfter(this->faults.delay,
                        [this, aRequest] { this->Serve(aRequest); });
}

void PlatformStandIn::HandleFaults(const HttpRequest& aRequest) {
  try {
    const Json json = Json::parse(aRequest.body);
    this->faults.outage = json.value("outage", this->faults.outage);
    this->faults.delay = Micros{
        1000 * json.value("delay_ms", this->faults.delay.count() / 1000)};
    this->faults.lostResponseRate =
        json.value("lose_answers", this->faults.lostResponseRate);
    this->faults.writeLimit =
        json.value("write_limit", this->faults.writeLimit);
    this->faults.readLimit = json.value("read_limit", this->faults.readLimit);
    if (json.contains("cut_off")) {
      this->faults.partitionedDomains =
          json.at("cut_off").get<std::set<std::string>>();
    }
    this->Respond(aRequest.exchange, 200, "{}");
  } catch (const Json::exception& error) {
    this->Respond(aRequest.exchange, 400, Json{{"error", error.what()}}.dump());
  }
}

void PlatformStandIn::HandleCounts(const HttpRequest& aRequest) {
  const Json json{{"reads", this->counts.reads},
                  {"writes", this->counts.writes},
                  {"watches", this->counts.watches},
                  {"refused", this->counts.refused}};
  this->Respond(aRequest.exchange, 200, json.dump());
}

void PlatformStandIn::Serve(const HttpRequest& aRequest) {
  const std::string& path = aRequest.path;
  if (path == "/v1/kv") {
    this->ServeList(aRequest);
  } else if (path.starts_with(kKeyPath)) {
    this->ServeKey(aRequest, path.substr(kKeyPath.size()));
  } else if (path.starts_with(kWatchPath)) {
    this->ServeWatch(aRequest, path.substr(kWatchPath.size()));
  } else if (path.starts_with("/v1/leases")) {
    this->ServeLease(aRequest);
  } else if (path.starts_with("/v1/vms")) {
    this->ServeVms(aRequest);
  } else {
    this->Respond(aRequest.exchange, 400, "{}");
  }
}

void PlatformStandIn::Respond(ExchangeId aExchange, int aStatus,
                              std::string aJson) {
  HttpResponse response = JsonResponse(std::move(aJson));
  response.status = aStatus;
  const bool isLost = this->random.Unit() < this->faults.lostResponseRate;
  if (isLost) {
    // The call has taken effect, but the caller sees an error.
    response.status = 503;
  }
  this->server.Http().Respond(aExchange, std::move(response));
}

void PlatformStandIn::ServeKey(const HttpRequest& aRequest,
                               const std::string& aKey) {
  if (aRequest.method == "PUT") {
    this->ServeSwap(aRequest, aKey);
    return;
  }
  if (aRequest.method == "DELETE") {
    const auto expected =
        static_cast<std::uint64_t>(QueryNumber(aRequest, "if", 0));
    const bool removed = this->store.Remove(aKey, expected);
    this->Respond(aRequest.exchange, removed ? 200 : 409, "{}");
    return;
  }
  const auto value = this->store.Get(aKey);
  this->Respond(aRequest.exchange, value ? 200 : 404,
                value ? ToJson(*value).dump() : "{}");
}

void PlatformStandIn::ServeSwap(const HttpRequest& aRequest,
                                const std::string& aKey) {
  if (aRequest.body.size() > kMaxValueBytes) {
    this->Respond(aRequest.exchange, 413, "{}");
    return;
  }
  const auto expected =
      static_cast<std::uint64_t>(QueryNumber(aRequest, "if", 0));
  const auto lease = static_cast<LeaseId>(QueryNumber(aRequest, "lease", 0));
  const auto revision =
      this->store.CompareAndSwap(aKey, expected, aRequest.body, lease);
  if (!revision) {
    this->Respond(aRequest.exchange, 409, "{}");
    return;
  }
  this->NotifyWatchers(aKey);
  this->Respond(aRequest.exchange, 200, Json{{"revision", *revision}}.dump());
}

void PlatformStandIn::ServeList(const HttpRequest& aRequest) {
  Json values = Json::array();
  for (const KeyedValue& item :
       this->store.List(QueryValue(aRequest.query, "prefix"))) {
    Json json = ToJson(item.stored);
    json["key"] = item.key;
    values.push_back(std::move(json));
  }
  this->Respond(aRequest.exchange, 200, Json{{"values", values}}.dump());
}

void PlatformStandIn::ServeWatch(const HttpRequest& aRequest,
                                 const std::string& aKey) {
  const auto afterRevision =
      static_cast<std::uint64_t>(QueryNumber(aRequest, "after", 0));
  const auto value = this->store.Get(aKey);
  if (value && value->revision > afterRevision) {
    this->Respond(aRequest.exchange, 200, ToJson(*value).dump());
    return;
  }
  this->pendingWatches.push_back({aRequest.exchange, afterRevision, aKey});
  const Micros wait{1000 * QueryNumber(aRequest, "wait_ms", 1000)};
  this->server.RunAfter(wait, [this, exchange = aRequest.exchange] {
    const auto erased =
        std::erase_if(this->pendingWatches, [&](const PendingWatch& aWatch) {
          return aWatch.exchange == exchange;
        });
    if (erased > 0) {
      this->Respond(exchange, 404, "{}");
    }
  });
}

void PlatformStandIn::NotifyWatchers(const std::string& aKey) {
  const auto value = this->store.Get(aKey);
  std::vector<ExchangeId> notified;
  std::erase_if(this->pendingWatches, [&](const PendingWatch& aWatch) {
    const bool isChanged =
        aWatch.key == aKey && value && value->revision > aWatch.afterRevision;
    if (isChanged) {
      notified.push_back(aWatch.exchange);
    }
    return isChanged;
  });
  for (const ExchangeId exchange : notified) {
    this->Respond(exchange, 200, ToJson(*value).dump());
  }
}

void PlatformStandIn::ServeLease(const HttpRequest& aRequest) {
  if (aRequest.method == "POST") {
    const Micros ttl{1000 * QueryNumber(aRequest, "ttl_ms", 10000)};
    const Json json{{"lease", this->store.GrantLease(ttl)}};
    this->Respond(aRequest.exchange, 200, json.dump());
    return;
  }
  const std::string id = aRequest.path.substr(aRequest.path.rfind('/') + 1);
  const bool renewed =
      this->store.RenewLease(std::strtoull(id.c_str(), nullptr, 10));
  this->Respond(aRequest.exchange, renewed ? 200 : 404, "{}");
}

void PlatformStandIn::ServeVms(const HttpRequest& aRequest) {
  if (aRequest.method != "GET") {
    // Simulates a VM change that appears in the platform's list after a lag.
    const std::string name = aRequest.path.substr(aRequest.path.rfind('/') + 1);
    const std::string json = aRequest.method == "PUT" ? aRequest.body : "";
    this->vmChanges.push_back(
        {this->clock.Now() + this->vmListLag, name, json});
    this->Respond(aRequest.exchange, 200, "{}");
    return;
  }
  while (!this->vmChanges.empty() &&
         this->vmChanges.front().visibleAt <= this->clock.Now()) {
    const VmChange& change = this->vmChanges.front();
    if (change.json.empty()) {
      this->vms.erase(change.name);
    } else {
      this->vms[change.name] = change.json;
    }
    this->vmChanges.pop_front();
    this->vmsRevision += 1;
  }
  const auto knownRevision =
      static_cast<std::uint64_t>(QueryNumber(aRequest, "after", 0));
  if (knownRevision == this->vmsRevision) {
    this->Respond(aRequest.exchange, 304, "");
    return;
  }
  Json list = Json::array();
  for (const auto& [name, json] : this->vms) {
    list.push_back(Json::parse(json, nullptr, false));
  }
  this->Respond(aRequest.exchange, 200,
                Json{{"vms", list}, {"revision", this->vmsRevision}}.dump());
}

}  // namespace zincstep::standins
