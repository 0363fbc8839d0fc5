#pragma once

#include <string>
#include <vector>

#include "Zincstep/Core/Core.h"
#include "Zincstep/Pool/LoadFeatures.h"

namespace zincstep {

/// Requests at a first stage.
struct FirstStageState {
  /// Requests that are expected to run or to be queued there now.
  double requests = 0;
  /// Requests that it runs at once.
  int slots = 0;
  /// Age of the report that `requests` is from.
  Micros age{0};
};

/// State of a failure domain as known to this daemon.
struct DomainState {
  std::string name;
  /// Whether it is the domain of this daemon.
  bool isOwn = false;
  /// Tokens that fit at the holders of each layer, in addition to the request.
  std::vector<double> freeTokens;
  /// Of the own domain: the tokens for which the holders of its least held
  /// layer have memory, and the tokens in flight of its callers, wherever they
  /// run; 0: unknown.
  double capacity = 0;
  double callersTokens = 0;
  /// The first stages that may be chosen; empty: unknown.
  std::vector<FirstStageState> firstStages;
};

/// What a request requires, and how long requests take.
struct RequestTiming {
  /// Latency objective of the first event.
  Micros objective = 500ms;
  /// Mean duration of a response, in seconds; 0: unknown.
  double responseSeconds = 0;
};

/// Why a request starts in the domain that was chosen for it.
enum class DomainReason {
  /// The daemon's own domain.
  Own,
  /// No chain of the own domain has room for the request.
  NoRoom,
  /// The least held layers of the own domain are short of memory.
  Scarce,
  /// The first stages of the own domain queue requests, or are about to.
  Queue,
};

inline constexpr NameTable<DomainReason, 4> kDomainReasonNames{{
    {DomainReason::Own, "own"},
    {DomainReason::NoRoom, "no_room"},
    {DomainReason::Scarce, "scarce"},
    {DomainReason::Queue, "queue"},
}};

/// A domain in which a request may start.
struct RankedDomain {
  std::string name;
  double memoryCost = 0;
  double waitCost = 0;
  /// Why a request would start there.
  DomainReason reason = DomainReason::Own;

  double Cost() const { return this->memoryCost + this->waitCost; }
};

/// Settings of the choice between failure domains.
struct DomainChoiceSettings {
  /// Cost of a layer of a whole failure domain, by the free memory of all
  /// upstreams that hold it.
  double scarcityCost = 60'000;
  /// Cost of a chain in another failure domain: equal to the scarcity cost of
  /// an idle domain, so that work moves from a domain that is more than half
  /// full to an idle one.
  double remoteCost = 40;
  /// Relative random variation of a domain's cost.
  double jitter = 0.1;
  /// Share of its capacity that the own domain should hold of its callers'
  /// tokens. If they have more in flight, the remaining share of new requests
  /// leaves. This number does not depend on where requests run, so daemons that
  /// follow it do not leave and return together, as they do on delayed reports
  /// of the free memory (the share of requests that left changed by 0.3 to 0.6
  /// of its mean from second to second, with it by 0.1 to 0.2;
  /// `DomainDemandReplay`).
  double heldShare = 0.7;
  /// Factors on the own domain's cost for the requests that should leave and
  /// that should stay then. The range between them is left to that share;
  /// beyond it the cost decides as before.
  double leaveFactor = 3;
  double stayFactor = 0.3;
  /// Whether the expected wait at first stages and the tokens of callers count;
  /// else only free memory does. A millisecond of the wait costs 1.
  FeatureMode expectedLoad = FeatureMode::Auto;
  /// Share of the slots of a first stage from which on new requests are
  /// expected to wait: requests of other daemons that were not reported yet
  /// come in addition.
  double usableSlotShare = 0.85;
  /// Advantage of another domain up to which the own one is preferred, as a
  /// share of the latency objective.
  double ownPreference = 0.2;
  /// Range of the random variation of an expected wait that was just reported.
  /// The age of the report comes in addition.
  Micros waitVariation = 300ms;
};

/// Ranks the failure domains in which a request may start.
///
/// The cost of a domain rises as its least held layers run out of memory and as
/// its first stages run out of slots. Many daemons choose on delayed views. If
/// each of them compared the same numbers, all would leave a domain at once and
/// return at once. So the share of requests that leave the own domain follows
/// the load of its callers, and grows linearly with the expected wait, the more
/// slowly the older the reports are.
class DomainChoice {
 public:
  explicit DomainChoice(DomainChoiceSettings aSettings) : settings(aSettings) {}

  /// Returns the domains that have room at each layer, by ascending cost.
  std::vector<RankedDomain> Rank(const std::vector<DomainState>& aDomains,
                                 const RequestTiming& aTiming,
                                 Random& aRandom) const;

 private:
  /// Cost of the memory; infinite if a layer has no room.
  double MemoryCost(const DomainState& aDomain) const;
  /// Factor on the own domain's cost by the load of its callers; 1 while it
  /// holds that load.
  double CallersFactor(const DomainState& aDomain, Random& aRandom) const;
  /// Sums the requests beyond the usable slots and the slots of all stages; the
  /// age is the mean.
  FirstStageState Total(const std::vector<FirstStageState>& aStages) const;
  /// Cost of the expected wait, with its random variation.
  double WaitCost(const DomainState& aDomain, const RequestTiming& aTiming,
                  Random& aRandom) const;

  DomainChoiceSettings settings;
};

}  // namespace zincstep
