#include "Zincstep/Cluster/ConfigurationState.h"

#include "Zincstep/Cluster/ClusterView.h"
#include "Zincstep/Telemetry/Telemetry.h"

namespace zincstep {

namespace {

/// Time for the operators to write again what the copy lacks. Proofs from
/// before go on to count meanwhile, and are old after five seconds.
constexpr Micros kProofDoubt = 1500ms;

}  // namespace

bool ConfigurationState::IsNewer(std::uint64_t aVersion,
                                 StoreRevision aFound) const {
  if (!this->table) {
    return true;
  }
  // Inside one era the store's order holds, whatever the versions; a copy from
  // before may hold what has been replaced.
  const bool isOfOneEra = aFound.era == this->takenInEra;
  return isOfOneEra || aVersion >= this->Version();
}

bool ConfigurationState::OnFound(const StoreItem& aItem) {
  if (aItem.revision <= this->foundAt ||
      aItem.revision == this->refusedRevision) {
    return false;
  }
  if (this->table && aItem.value == this->text) {
    this->foundAt = aItem.revision;
    this->takenInEra = aItem.revision.era;
    return false;
  }
  auto decoded = this->decoder.DecodeConfiguration(aItem.value);
  if (!decoded) {
    this->refusedRevision = aItem.revision;
    LogWarning("configuration_refused", {{"revision", aItem.revision.number},
                                         {"era", aItem.revision.era},
                                         {"kept_version", this->Version()},
                                         {"reason", decoded.error().message}});
    return false;
  }
  this->foundAt = aItem.revision;
  if (!this->IsNewer(decoded->version, aItem.revision)) {
    LogWarning("configuration_older", {{"revision", aItem.revision.number},
                                       {"era", aItem.revision.era},
                                       {"version", decoded->version},
                                       {"kept_version", this->Version()}});
    return false;
  }
  this->SetInForce(aItem.value, std::move(*decoded), aItem.revision);
  return true;
}

void ConfigurationState::SetInForce(std::string aText,
                                    RouteConfiguration aConfiguration,
                                    StoreRevision aFound) {
  this->text = std::move(aText);
  this->takenInEra = aFound.era;
  this->table = std::make_shared<const RouteTable>(std::move(aConfiguration));
  LogInfo("configuration_in_force",
          {{"revision", aFound.number},
           {"era", aFound.era},
           {"version", this->table->Configuration().version},
           {"routes", this->table->Configuration().routes.size()}});
}

bool ConfigurationState::OnPeers(const std::string& aText) {
  auto decoded = this->decoder.DecodeConfiguration(aText);
  if (!decoded || decoded->version <= this->Version()) {
    return false;
  }
  this->SetInForce(aText, std::move(*decoded), {});
  return true;
}

void ConfigurationState::OnValidated(StoreRevision aRevision, Instant aBegan) {
  if (aRevision > this->foundAt || aRevision.IsNone()) {
    return;  // That one has withdrawn what this one still grants.
  }
  if (aRevision.era < this->era || aBegan < this->rejectsValidationUntil) {
    return;
  }
  // A store in its first era has never come back from a copy.
  if (this->awaitsPeersUntil && aRevision.era > 0) {
    this->pendingValidation = PendingValidation{aRevision, aBegan};
    return;
  }
  if (!this->validatedAt || *this->validatedAt < aBegan) {
    this->validatedAt = aBegan;
  }
}

void ConfigurationState::OnRestored(std::uint64_t aEra) {
  this->era = aEra;
  this->foundAt = {};
  this->refusedRevision = {};
  this->pendingValidation.reset();
  this->rejectsValidationUntil = this->clock.Now() + kProofDoubt;
}

void ConfigurationState::OnPeersResponded() {
  if (!this->awaitsPeersUntil) {
    return;
  }
  this->awaitsPeersUntil.reset();
  if (this->pendingValidation) {
    const PendingValidation held = *this->pendingValidation;
    this->pendingValidation.reset();
    this->OnValidated(held.revision, held.began);
  }
}

std::optional<Micros> ConfigurationState::ValidationAge() const {
  if (!this->validatedAt) {
    return std::nullopt;
  }
  return this->clock.Now() - *this->validatedAt;
}

void ConfigurationState::Tick() {
  if (this->awaitsPeersUntil && this->clock.Now() >= *this->awaitsPeersUntil) {
    this->OnPeersResponded();
  }
}

}  // namespace zincstep
