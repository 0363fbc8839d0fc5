#include "Zincstep/Cluster/ConfigurationState.h"

#include "Zincstep/Cluster/ClusterView.h"
#include "Zincstep/Telemetry/Telemetry.h"

namespace zincstep {

namespace {

/// Time for the operators to write again what the backup lacks. Earlier
/// validations stay in effect meanwhile; they expire after five seconds.
constexpr Micros kRestoreSettleTime = 1500ms;

}  // namespace

bool ConfigurationState::IsNewer(std::uint64_t aVersion,
                                 StoreRevision aStoredAt) const {
  if (!this->table) {
    return true;
  }
  // Within one era the store's order decides, whatever the versions. A backup
  // may hold a configuration that has been replaced.
  const bool isOfOneEra = aStoredAt.era == this->activatedInEra;
  return isOfOneEra || aVersion >= this->Version();
}

bool ConfigurationState::OnStoreConfiguration(const StoreItem& aItem) {
  if (aItem.revision <= this->storedAt ||
      aItem.revision == this->rejectedRevision) {
    return false;
  }
  if (this->table && aItem.value == this->text) {
    this->storedAt = aItem.revision;
    this->activatedInEra = aItem.revision.era;
    return false;
  }
  const Instant decodingSince = this->clock.Now();
  auto decoded = this->decoder.DecodeConfiguration(aItem.value);
  if (!decoded) {
    this->rejectedRevision = aItem.revision;
    LogWarning("configuration_refused", {{"revision", aItem.revision.number},
                                         {"era", aItem.revision.era},
                                         {"kept_version", this->Version()},
                                         {"reason", decoded.error().message}});
    return false;
  }
  this->storedAt = aItem.revision;
  if (!this->IsNewer(decoded->version, aItem.revision)) {
    LogWarning("configuration_older", {{"revision", aItem.revision.number},
                                       {"era", aItem.revision.era},
                                       {"version", decoded->version},
                                       {"kept_version", this->Version()}});
    return false;
  }
  this->Activate(aItem.value, std::move(*decoded), aItem.revision,
                 decodingSince);
  return true;
}

void ConfigurationState::Activate(std::string aText,
                                  RouteConfiguration aConfiguration,
                                  StoreRevision aStoredAt,
                                  Instant aDecodingSince) {
  this->text = std::move(aText);
  this->activatedInEra = aStoredAt.era;
  this->table = std::make_shared<const RouteTable>(std::move(aConfiguration));
  LogInfo("configuration_in_force",
          {{"revision", aStoredAt.number},
           {"era", aStoredAt.era},
           {"version", this->table->Configuration().version},
           {"routes", this->table->Configuration().routes.size()},
           {"bytes", this->text.size()},
           {"took_ms", (this->clock.Now() - aDecodingSince) / 1ms}});
}

bool ConfigurationState::OnPeerConfiguration(const std::string& aText) {
  const Instant decodingSince = this->clock.Now();
  auto decoded = this->decoder.DecodeConfiguration(aText);
  if (!decoded || decoded->version <= this->Version()) {
    return false;
  }
  this->Activate(aText, std::move(*decoded), {}, decodingSince);
  return true;
}

void ConfigurationState::OnValidated(StoreRevision aRevision,
                                     Instant aStartedAt) {
  if (aRevision > this->storedAt || aRevision.IsNone()) {
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
  this->awaitingPeersUntil.reset();
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
  if (this->awaitingPeersUntil &&
      this->clock.Now() >= *this->awaitingPeersUntil) {
    this->OnPeersResponded();
  }
}

}  // namespace zincstep
