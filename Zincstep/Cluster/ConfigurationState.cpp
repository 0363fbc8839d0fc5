#include "Zincstep/Cluster/ConfigurationState.h"

#include <algorithm>
#include <vector>

#include "Zincstep/Cluster/ClusterView.h"
#include "Zincstep/Telemetry/Telemetry.h"

namespace zincstep {

namespace {

/// Time for the operators to write again what the backup lacks. Earlier
/// validations stay in effect meanwhile; they expire after five seconds.
constexpr Micros kRestoreSettleTime = 1500ms;

/// Configurations up to this size are decoded on the event loop, in about half
/// a millisecond (docs/incidents/configuration-changes.md), so that the first
/// one at start is not delayed.
constexpr std::size_t kMaxInlineBytes = 16 << 10;

/// Age of the last validation up to which a replaced configuration is kept: the
/// usual time in which removed keys have to be out of use.
constexpr Micros kMaxFormerAge = 5s;
/// A storm of changes may replace twenty configurations within that time, and
/// each takes up to 9 MB at 10,000 routes.
constexpr std::size_t kMaxFormer = 4;

}  // namespace

Result<std::shared_ptr<const RouteTable>> BuildRouteTable(
    const ClusterDecoder& aDecoder, std::string_view aText,
    const DecodedConfiguration& aFormer) {
  return aDecoder.DecodeChange(aText, aFormer)
      .map([](RouteConfiguration aConfiguration) {
        return std::shared_ptr<const RouteTable>(
            std::make_shared<const RouteTable>(std::move(aConfiguration)));
      });
}

bool ConfigurationState::IsNewer(std::uint64_t aVersion,
                                 StoreRevision aStoredAt) const {
  if (!this->table) {
    return true;
  }
  // Within one era the store's order decides, whatever the versions. A backup
  // may hold a configuration that has been replaced.
  const bool isOfOneEra = aStoredAt.era == this->activatedAt.era;
  return isOfOneEra ? aStoredAt > this->activatedAt
                    : aVersion >= this->Version();
}

bool ConfigurationState::IsBuiltAside(const std::string& aText) const {
  return this->builder != nullptr && aText.size() > kMaxInlineBytes;
}

StoreRevision ConfigurationState::AcceptedAt() const {
  StoreRevision newest = this->storedAt;
  for (const PendingBuild& build : this->pending) {
    if (build.IsFromStore() && build.revision.era >= this->era) {
      newest = std::max(newest, build.revision);
    }
  }
  return newest;
}

std::uint64_t ConfigurationState::AcceptedVersion() const {
  std::uint64_t highest = this->Version();
  for (const PendingBuild& build : this->pending) {
    highest = std::max(highest, build.version);
  }
  return highest;
}

bool ConfigurationState::OnStoreConfiguration(const StoreItem& aItem,
                                              std::uint64_t aVersion) {
  if (aItem.revision <= this->AcceptedAt() ||
      aItem.revision == this->rejectedRevision) {
    return false;
  }
  if (this->table && aItem.value == *this->text) {
    this->storedAt = aItem.revision;
    this->activatedAt = aItem.revision;
    this->DropReplaced();
    return false;
  }
  auto ownText = std::make_shared<const std::string>(aItem.value);
  if (this->IsBuiltAside(*ownText)) {
    this->Enqueue(std::move(ownText), aItem.revision, aVersion);
    return false;
  }
  const Instant receivedAt = this->clock.Now();
  const bool isActive = this->ApplyStored(
      ownText, aItem.revision,
      BuildRouteTable(this->decoder, *ownText, this->Active()), receivedAt);
  this->DropReplaced();
  return isActive;
}

bool ConfigurationState::ApplyStored(
    const SharedText& aText, StoreRevision aRevision,
    Result<std::shared_ptr<const RouteTable>> aTable, Instant aReceivedAt) {
  if (!aTable) {
    if (aTable.error().kind == ErrorKind::ConfigInvalid) {
      this->rejectedRevision = aRevision;
    }
    LogWarning("configuration_refused", {{"revision", aRevision.number},
                                         {"era", aRevision.era},
                                         {"kept_version", this->Version()},
                                         {"reason", aTable.error().message}});
    return false;
  }
  const std::uint64_t version = (*aTable)->Configuration().version;
  const StoreRevision storedBefore = this->storedAt;
  // A revision from before a restore says nothing about the store's state.
  if (aRevision.era >= this->era) {
    this->storedAt = std::max(this->storedAt, aRevision);
  }
  // It was built while a newer one of its era became active.
  const bool isReplaced =
      aRevision <= storedBefore && aRevision.era == storedBefore.era;
  if (isReplaced || !this->IsNewer(version, aRevision)) {
    LogWarning("configuration_older", {{"revision", aRevision.number},
                                       {"era", aRevision.era},
                                       {"version", version},
                                       {"kept_version", this->Version()}});
    return false;
  }
  this->Activate(aText, std::move(*aTable), aRevision, aReceivedAt);
  return true;
}

void ConfigurationState::Activate(SharedText aText,
                                  std::shared_ptr<const RouteTable> aTable,
                                  StoreRevision aStoredAt,
                                  Instant aReceivedAt) {
  // Most changes remove no key and no route.
  if (this->table && this->validatedAt &&
      this->table->AdmissionHash() != aTable->AdmissionHash()) {
    this->former.push_front({std::move(this->table), *this->validatedAt});
    this->former.resize(std::min(this->former.size(), kMaxFormer));
  }
  this->text = std::move(aText);
  this->activatedAt = aStoredAt;
  this->table = std::move(aTable);
  LogInfo("configuration_in_force",
          {{"revision", aStoredAt.number},
           {"era", aStoredAt.era},
           {"version", this->table->Configuration().version},
           {"routes", this->table->Configuration().routes.size()},
           {"requires_keys", this->table->RequiresKeys()},
           {"bytes", this->text->size()},
           {"took_ms", (this->clock.Now() - aReceivedAt) / 1ms}});
}

bool ConfigurationState::OnPeerConfiguration(const std::string& aText,
                                             std::uint64_t aVersion) {
  for (const PendingBuild& build : this->pending) {
    // Peers send it again until it is active.
    if (!build.IsFromStore() || *build.text == aText) {
      return false;
    }
  }
  auto ownText = std::make_shared<const std::string>(aText);
  if (this->IsBuiltAside(*ownText)) {
    this->Enqueue(std::move(ownText), {}, aVersion);
    return false;
  }
  const Instant receivedAt = this->clock.Now();
  return this->ApplyFromPeer(
      ownText, BuildRouteTable(this->decoder, *ownText, this->Active()),
      receivedAt);
}

bool ConfigurationState::ApplyFromPeer(
    const SharedText& aText,
    const Result<std::shared_ptr<const RouteTable>>& aTable,
    Instant aReceivedAt) {
  if (!aTable || (*aTable)->Configuration().version <= this->Version()) {
    return false;
  }
  this->Activate(aText, *aTable, {}, aReceivedAt);
  return true;
}

void ConfigurationState::Enqueue(SharedText aText, StoreRevision aRevision,
                                 std::uint64_t aVersion) {
  const std::size_t building = this->isBuilding ? 1 : 0;
  for (std::size_t i = building; i < this->pending.size(); ++i) {
    PendingBuild& waiting = this->pending[i];
    if (!aRevision.IsNone() && waiting.IsFromStore() &&
        waiting.revision.era == aRevision.era) {
      waiting.text = std::move(aText);
      waiting.revision = aRevision;
      waiting.version = aVersion;
      waiting.receivedAt = this->clock.Now();
      return;
    }
  }
  this->lastBuild += 1;
  this->pending.push_back({this->lastBuild, std::move(aText), aRevision,
                           aVersion, this->clock.Now(), std::nullopt});
  this->StartNextBuild();
}

void ConfigurationState::StartNextBuild() {
  if (this->isBuilding || this->pending.empty()) {
    return;
  }
  this->isBuilding = true;
  this->builder->Start(
      this->pending.front().text, this->Active(),
      [this](Result<std::shared_ptr<const RouteTable>> aTable) {
        this->OnBuilt(std::move(aTable));
      });
}

void ConfigurationState::OnBuilt(
    Result<std::shared_ptr<const RouteTable>> aTable) {
  const PendingBuild built = std::move(this->pending.front());
  this->pending.pop_front();
  this->isBuilding = false;
  this->StartNextBuild();
  const bool isActive =
      built.IsFromStore()
          ? this->ApplyStored(built.text, built.revision, std::move(aTable),
                              built.receivedAt)
          : this->ApplyFromPeer(built.text, aTable, built.receivedAt);
  if (built.validation) {
    this->OnValidated(built.validation->revision, built.validation->startedAt);
  }
  this->EndWaitIfBuilt();
  if (isActive) {
    this->onActivated();
  }
}

void ConfigurationState::DropReplaced() {
  const std::size_t building = this->isBuilding ? 1 : 0;
  std::vector<PendingValidation> validations;
  for (std::size_t i = building; i < this->pending.size();) {
    const PendingBuild& build = this->pending[i];
    const bool isReplaced = build.IsFromStore() &&
                            build.revision.era == this->storedAt.era &&
                            build.revision <= this->storedAt;
    if (!isReplaced) {
      ++i;
      continue;
    }
    if (build.validation) {
      validations.push_back(*build.validation);
    }
    this->pending.erase(this->pending.begin() + static_cast<std::ptrdiff_t>(i));
  }
  for (const PendingValidation& validation : validations) {
    this->OnValidated(validation.revision, validation.startedAt);
  }
  this->EndWaitIfBuilt();
}

bool ConfigurationState::DeferValidation(StoreRevision aRevision,
                                         Instant aStartedAt) {
  for (PendingBuild& build : this->pending) {
    // A peer's configuration may be newer than all that the store holds.
    const bool isCovered = build.IsFromStore() ? aRevision > this->storedAt &&
                                                     aRevision <= build.revision
                                               : aRevision <= this->storedAt;
    if (isCovered) {
      if (!build.validation || build.validation->startedAt < aStartedAt) {
        build.validation = PendingValidation{aRevision, aStartedAt};
      }
      return true;
    }
  }
  return false;
}

void ConfigurationState::OnValidated(StoreRevision aRevision,
                                     Instant aStartedAt) {
  if (aRevision.IsNone() || this->DeferValidation(aRevision, aStartedAt)) {
    return;
  }
  if (aRevision > this->storedAt) {
    return;  // The newer one may revoke what this one grants.
  }
  if (aRevision.era < this->era || aStartedAt < this->rejectValidationsBefore) {
    return;
  }
  // A store in its first era was never restored from a backup.
  if (this->awaitingPeersUntil && aRevision.era > 0) {
    this->pendingValidation = PendingValidation{aRevision, aStartedAt};
    return;
  }
  if (!this->validatedAt || *this->validatedAt < aStartedAt) {
    this->validatedAt = aStartedAt;
  }
}

void ConfigurationState::OnRestored(std::uint64_t aEra) {
  this->era = aEra;
  this->storedAt = {};
  this->rejectedRevision = {};
  this->pendingValidation.reset();
  this->rejectValidationsBefore = this->clock.Now() + kRestoreSettleTime;
}

void ConfigurationState::OnPeersResponded() {
  if (!this->awaitingPeersUntil) {
    return;
  }
  if (!this->pending.empty()) {
    // What the peer sent may be among them.
    if (!this->respondedBehind) {
      this->respondedBehind = this->pending.back().number;
    }
    return;
  }
  this->EndPeerWait();
}

void ConfigurationState::EndWaitIfBuilt() {
  const bool isBuilt = this->respondedBehind &&
                       (this->pending.empty() ||
                        this->pending.front().number > *this->respondedBehind);
  if (isBuilt) {
    this->EndPeerWait();
  }
}

void ConfigurationState::EndPeerWait() {
  this->awaitingPeersUntil.reset();
  this->respondedBehind.reset();
  if (this->pendingValidation) {
    const PendingValidation validation = *this->pendingValidation;
    this->pendingValidation.reset();
    this->OnValidated(validation.revision, validation.startedAt);
  }
}

std::optional<Micros> ConfigurationState::ValidationAge() const {
  if (!this->validatedAt) {
    return std::nullopt;
  }
  return this->clock.Now() - *this->validatedAt;
}

void ConfigurationState::Tick() {
  const Instant now = this->clock.Now();
  std::erase_if(this->former, [now](const FormerConfiguration& aOne) {
    return now - aOne.validatedAt > kMaxFormerAge;
  });
  if (this->awaitingPeersUntil && now >= *this->awaitingPeersUntil) {
    this->OnPeersResponded();
  }
}

}  // namespace zincstep
