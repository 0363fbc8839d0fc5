/// \file
/// Partitions of daemons from all upstreams, while callers, the store and the
/// other daemons still reach them.

#include <algorithm>

#include "SoakTests/Soak.h"

namespace zincstep::soak {

namespace {

/// How a partition affects connections to upstreams.
enum class PartitionKind {
  /// Open connections are silent, new ones hang.
  Silent,
  /// Open connections are reset, new ones are refused.
  Reset,
  /// Open connections work, new ones hang.
  NewHang,
  /// Open connections work, new ones are refused.
  NewRefused,
};

inline constexpr NameTable<PartitionKind, 4> kPartitionKindNames{{
    {PartitionKind::Silent, "silent"},
    {PartitionKind::Reset, "reset"},
    {PartitionKind::NewHang, "new hang"},
    {PartitionKind::NewRefused, "new refused"},
}};

/// Between two partitions while faults are injected.
constexpr Micros kMinPartitionInterval = 2s;
constexpr Micros kPartitionIntervalSpread = 4s;
/// Time after the start of a partition from which its callers must be served.
constexpr Micros kContactTime = 3s;
/// How long requests are counted from then on.
constexpr Micros kObservationTime = 3s;
/// Of all first attempts, at most so many and a fiftieth may fail at
/// partitioned daemons before their service is compared with the others'.
constexpr std::size_t kToleratedFailures = 10;
constexpr std::size_t kRequestsPerToleratedFailure = 50;

LinkState OpenStateOf(PartitionKind aKind) {
  switch (aKind) {
    case PartitionKind::Silent:
      return LinkState::Blackholed;
    case PartitionKind::Reset:
      return LinkState::Reset;
    case PartitionKind::NewHang:
    case PartitionKind::NewRefused:
      break;
  }
  return LinkState::Up;
}

NewConnections NewStateOf(PartitionKind aKind) {
  const bool hangs =
      aKind == PartitionKind::Silent || aKind == PartitionKind::NewHang;
  return hangs ? NewConnections::Hang : NewConnections::Refused;
}

}  // namespace

void Soak::AddDaemonLinks() {
  for (const auto& daemon : this->daemons) {
    for (const auto& upstream : this->upstreams) {
      upstream->AddDaemonLink(daemon->address.address().to_string());
    }
  }
}

void Soak::PartitionFromUpstreams(const std::vector<Daemon*>& aDaemons) {
  const auto kind = static_cast<PartitionKind>(
      this->partitionRandom.Below(kPartitionKindNames.size()));
  for (Daemon* daemon : aDaemons) {
    const std::string host = daemon->address.address().to_string();
    this->RecordFault("partition of " + host + " from all upstreams, " +
                      std::string(NameIn(kPartitionKindNames, kind)));
    daemon->isPartitioned = true;
    for (const auto& upstream : this->upstreams) {
      upstream->Partition(host, OpenStateOf(kind), NewStateOf(kind));
    }
  }
}

void Soak::EndPartition(const std::vector<Daemon*>& aDaemons) {
  for (Daemon* daemon : aDaemons) {
    const std::string host = daemon->address.address().to_string();
    this->RecordFault("end of the partition of " + host);
    daemon->isPartitioned = false;
    for (const auto& upstream : this->upstreams) {
      upstream->Reconnect(host);
    }
  }
}

std::vector<Soak::Daemon*> Soak::DrawPartitioned() {
  std::vector<Daemon*> all;
  for (const auto& daemon : this->daemons) {
    all.push_back(daemon.get());
  }
  // A whole failure domain, or any number of daemons but all.
  if (this->partitionRandom.Below(3) == 0) {
    std::vector<Daemon*> domain;
    for (std::size_t i = this->partitionRandom.Below(2); i < all.size();
         i += 2) {
      domain.push_back(all[i]);
    }
    return domain;
  }
  for (std::size_t i = all.size(); i > 1; --i) {
    std::swap(all[i - 1], all[this->partitionRandom.Below(i)]);
  }
  all.resize(1 + this->partitionRandom.Below(all.size() - 1));
  return all;
}

void Soak::InjectPartition(Instant aNow) {
  this->nextPartition =
      aNow + DrawFrom(this->partitionRandom, kMinPartitionInterval,
                      kPartitionIntervalSpread);
  const std::vector<Daemon*> drawn = this->DrawPartitioned();
  const bool isAnyPartitioned =
      std::any_of(drawn.begin(), drawn.end(),
                  [](const Daemon* aOne) { return aOne->isPartitioned; });
  if (isAnyPartitioned) {
    return;
  }
  this->PartitionFromUpstreams(drawn);
  this->ScheduleHeal([this, drawn] { this->EndPartition(drawn); });
}

void Soak::CheckPartitionedDaemons() {
  const std::vector<Daemon*> partitioned = this->DrawPartitioned();
  this->PartitionFromUpstreams(partitioned);
  this->loop.run_for(kContactTime);
  this->firstAttempts.emplace();
  this->loop.run_for(kObservationTime);
  const std::vector<FirstAttempt> attempts = std::move(*this->firstAttempts);
  this->firstAttempts.reset();
  // The partition lasts until the last of them has ended.
  this->loop.run_for(kCallerTimeout);
  this->EndPartition(partitioned);
  std::array<std::size_t, 2> sent{};
  std::array<std::size_t, 2> served{};
  for (const FirstAttempt& attempt : attempts) {
    const std::size_t group = attempt.isPartitioned ? 1 : 0;
    sent[group] += 1;
    served[group] += this->checker.IsCompleted(attempt.id) ? 1 : 0;
  }
  const std::size_t tolerated =
      kToleratedFailures + attempts.size() / kRequestsPerToleratedFailure;
  const std::string counts =
      "partitioned daemons served " + std::to_string(served[1]) + " of " +
      std::to_string(sent[1]) + " first attempts, the others " +
      std::to_string(served[0]) + " of " + std::to_string(sent[0]);
  this->RecordFault(counts);
  // served[1] / sent[1] < 2/3 * served[0] / sent[0]
  if (sent[1] - served[1] > tolerated &&
      3 * served[1] * sent[0] < 2 * served[0] * sent[1]) {
    this->checker.AddViolation(counts);
  }
  if (!this->WaitUntilServed()) {
    this->checker.AddViolation("service did not recover after a partition");
  }
}

}  // namespace zincstep::soak
