#pragma once

#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "Zincstep/Core/Core.h"

namespace zincstep::soak {

enum class RequestKind { Safe, Unsafe, Stream };

/// What a caller was finally told.
enum class Told {
  /// Nothing, or not whole.
  Unknown,
  Answered,
  /// That the request has not run and never will.
  NotRun,
};

/// Everything that callers and upstreams have seen, and what it breaks.
class Ledger {
 public:
  /// Events are written there, one JSON line each, in the form and by the clock
  /// of the daemons' logs.
  void WriteEventsTo(const std::string& aPath) { this->events.open(aPath); }
  /// Writes what a stand-in has seen or done.
  void Event(const char* aEvent, nlohmann::json aFields);
  /// A caller sends a request with a key of that organisation.
  void Sent(const std::string& aId, RequestKind aKind,
            const std::string& aOrganisation, Instant aAt);
  /// An upstream begins to work on it.
  void Ran(const std::string& aId, const std::string& aOrganisation);
  void Ended(const std::string& aId, Told aTold);
  /// Its caller's connection broke before the answer was whole.
  void Cut(const std::string& aId) { this->cut.push_back(aId); }
  void ForgetCuts() { this->cut.clear(); }
  /// No request that ran was cut since; `aBy` says what should not cut them.
  void CheckCuts(const std::string& aBy);
  /// The request that crashes upstreams has reached one, and has ended one.
  void CrashingSent(Instant aAt) { this->crashingSends.push_back(aAt); }
  void CrashedOne(Instant aAt) { this->crashes.push_back(aAt); }
  /// Times that it was sent later than `aKnownWithin` after its third crash.
  std::size_t SentInSpite(Micros aKnownWithin) const;
  std::size_t Crashes() const { return this->crashes.size(); }
  /// Requests with keys of that organisation must not run that are sent after
  /// this.
  void Revoked(const std::string& aOrganisation, Instant aNotAfter) {
    this->revoked[aOrganisation] = aNotAfter;
  }
  /// A promise was broken, as seen by whoever calls this.
  void Broken(const std::string& aWhat) { this->broken.push_back(aWhat); }
  /// All broken promises, one a line; checks what shows at the end only.
  std::vector<std::string> Close();

  std::size_t Requests() const { return this->requests.size(); }
  std::size_t Answers() const;
  bool IsAnswered(const std::string& aId) const {
    return this->requests.at(aId).told == Told::Answered;
  }

 private:
  struct Record {
    RequestKind kind = RequestKind::Safe;
    std::string organisation;
    Instant sentAt;
    int runs = 0;
    Told told = Told::Unknown;
  };

  std::ofstream events;
  std::map<std::string, Record> requests;
  std::vector<std::string> cut;
  std::map<std::string, Instant> revoked;
  std::vector<std::string> broken;
  std::vector<Instant> crashingSends;
  std::vector<Instant> crashes;
};

}  // namespace zincstep::soak
