#include "SoakTests/Ledger.h"

#include <fmt/chrono.h>

#include <algorithm>
#include <chrono>

namespace zincstep::soak {

void Ledger::Event(const char* aEvent, nlohmann::json aFields) {
  const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  aFields["event"] = aEvent;
  aFields["program"] = "zincstep-soak";
  aFields["time"] =
      fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                  std::chrono::time_point_cast<std::chrono::seconds>(now),
                  now.time_since_epoch().count() % 1000);
  this->events << aFields.dump() << std::endl;
}

void Ledger::Sent(const std::string& aId, RequestKind aKind,
                  const std::string& aOrganisation, Instant aAt) {
  this->requests[aId] = {aKind, aOrganisation, aAt, 0, Told::Unknown};
}

void Ledger::Ran(const std::string& aId, const std::string& aOrganisation) {
  const auto found = this->requests.find(aId);
  if (found == this->requests.end()) {
    this->Broken("a request ran that nobody sent: " + aId);
    return;
  }
  Record& record = found->second;
  record.runs += 1;
  if (record.organisation != aOrganisation) {
    this->Broken("request " + aId + " ran for " + aOrganisation +
                 " instead of " + record.organisation);
  }
  if (record.kind == RequestKind::Unsafe && record.runs > 1) {
    this->Broken("unsafe request " + aId + " ran more than once");
  }
  const auto ended = this->revoked.find(record.organisation);
  if (ended != this->revoked.end() && record.sentAt > ended->second) {
    this->Broken("request " + aId + " ran with a key that was withdrawn");
  }
}

void Ledger::Ended(const std::string& aId, Told aTold) {
  this->requests[aId].told = aTold;
}

std::size_t Ledger::Answers() const {
  return static_cast<std::size_t>(std::count_if(
      this->requests.begin(), this->requests.end(),
      [](const auto& aOne) { return aOne.second.told == Told::Answered; }));
}

void Ledger::CheckCuts(const std::string& aBy) {
  for (const std::string& id : this->cut) {
    if (this->requests.at(id).runs > 0) {
      this->Broken("request " + id + " ran and was cut off " + aBy);
    }
  }
}

std::size_t Ledger::SentInSpite(Micros aKnownWithin) const {
  constexpr std::size_t kProofs = 3;
  if (this->crashes.size() < kProofs) {
    return 0;
  }
  const Instant known = this->crashes[kProofs - 1] + aKnownWithin;
  return static_cast<std::size_t>(
      std::count_if(this->crashingSends.begin(), this->crashingSends.end(),
                    [known](Instant aAt) { return aAt > known; }));
}

std::vector<std::string> Ledger::Close() {
  for (const auto& [id, record] : this->requests) {
    const bool mayNotRepeat = record.kind == RequestKind::Unsafe;
    if (mayNotRepeat && record.told == Told::NotRun && record.runs > 0) {
      this->Broken("request " + id + " was refused as not run, and ran");
    }
    if (record.told == Told::Answered && record.runs == 0) {
      this->Broken("request " + id + " was answered, and never ran");
    }
  }
  return this->broken;
}

}  // namespace zincstep::soak
