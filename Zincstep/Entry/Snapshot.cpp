#include "Zincstep/Entry/Snapshot.h"

namespace zincstep {

Result<SnapshotPtr> MakeSnapshot(const StoredConfiguration& aStored,
                                 const std::string& aOwnDomain) {
  const Result<std::string> yaml = JoinConfiguration(aStored.pieces);
  if (!yaml) {
    return tl::unexpected(yaml.error());
  }
  ParsedConfiguration parsed = ParseConfiguration(*yaml);
  if (!parsed.IsValid()) {
    return Fail(ErrorKind::ConfigInvalid, parsed.errors.front().Describe());
  }
  auto snapshot = std::make_shared<Snapshot>();
  snapshot->revision = aStored.root.revision;
  snapshot->configuration = std::move(parsed.configuration);
  snapshot->root = WriteRoot(aStored.root);
  snapshot->pieces = aStored.pieces;
  snapshot->region = snapshot->configuration.RegionOf(aOwnDomain);
  for (const Organisation& organisation :
       snapshot->configuration.organisations) {
    for (const std::string& key : organisation.keys) {
      snapshot->byKey[key] = &organisation;
    }
  }
  for (const FailureDomain& domain : snapshot->configuration.failureDomains) {
    if (domain.region == snapshot->region) {
      snapshot->regionDomains.insert(domain.name);
    }
  }
  return SnapshotPtr(std::move(snapshot));
}

}  // namespace zincstep
