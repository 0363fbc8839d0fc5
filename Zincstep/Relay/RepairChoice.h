#pragma once

#include <string>
#include <vector>

#include "Zincstep/Pool/Pool.h"

namespace zincstep {

/// A lost member of a chain.
struct LostStage {
  /// Layers that it ran.
  LayerRange layers;
  /// Work in flight of all daemons at the moment of the loss, in tokens x
  /// layers.
  double work = 0;
};

/// An upstream that can read tokens again.
struct RepairHolder {
  LayerRange layers;
  /// Reading rate while it also decodes, in tokens x layers per second.
  double readRate = 0;
  /// Time that the reads take which it already has.
  Micros readWait{0};
};

/// Observed state around a stalled stream.
struct RepairInput {
  std::vector<LostStage> lost;
  /// Usable other upstreams of the domain.
  std::vector<RepairHolder> holders;
  /// Tokens per second that chains elsewhere read through all layers.
  double newRunRate = 0;
  /// Time since the last event, and the gap that callers accept.
  Micros silence{0};
  Micros maxGap{0};
  /// Usual time of a new run to its first event, including the wait for a first
  /// stage.
  Micros firstEventTime{0};
  /// Whether an attempt and a retry are available.
  bool mayRunAnew = false;
  /// Hash of the request's id in [0, 1).
  double hash = 0;
};

/// How a stream continues after the loss of a member.
enum class RepairAction { Reroute, NewRun };

inline constexpr NameTable<RepairAction, 2> kRepairActionNames{{
    {RepairAction::Reroute, "reroute"},
    {RepairAction::NewRun, "new_run"},
}};

enum class RepairReason {
  /// Nothing is known about the work or the holders.
  NoEstimate,
  /// No attempt or no retry is left.
  NoAttempt,
  /// No usable upstream of the domain holds one of the lost layers.
  NoHolder,
  /// All rerouted streams continue within the gap.
  FitsGap,
  /// The streams are divided so that both parts continue at the same time.
  Divided,
};

inline constexpr NameTable<RepairReason, 5> kRepairReasonNames{{
    {RepairReason::NoEstimate, "no_estimate"},
    {RepairReason::NoAttempt, "no_attempt"},
    {RepairReason::NoHolder, "no_holder"},
    {RepairReason::FitsGap, "fits_gap"},
    {RepairReason::Divided, "divided"},
}};

struct RepairDecision {
  RepairAction action = RepairAction::Reroute;
  RepairReason reason = RepairReason::NoEstimate;
  /// Time until the last stream continues if all are rerouted, and if all get a
  /// new run.
  Micros allRerouted{0};
  Micros allRunAnew{0};
  /// Share of the streams that are rerouted.
  double rerouteShare = 1;
};

/// Returns the tokens per second that the holders read together through all of
/// `aLayers`; 0 if one of these layers has no holder.
double ReadRateThrough(const std::vector<RepairHolder>& aHolders,
                       LayerRange aLayers);

/// Sets the holders of a domain and the rate of new runs from the usable
/// upstreams of a service. New runs use the other domains if these can read all
/// layers.
void ObservePool(RepairInput& aInput, const ModelShape& aModel,
                 const std::vector<UpstreamPtr>& aUpstreams,
                 const std::string& aDomain, Instant aNow);

/// Returns the failure domains that can read all layers in the order in which a
/// new run tries them, drawn at random in proportion to their reading rates;
/// `aLastDomain` comes last.
std::vector<std::string> DrawDomains(const ModelShape& aModel,
                                     const std::vector<UpstreamPtr>& aUpstreams,
                                     const std::string& aLastDomain,
                                     Instant aNow, Random& aRandom);

/// Returns a number in [0, 1) drawn from a request's id, the same on each
/// daemon.
double HashShareOf(const std::string& aRequestId);

/// Decides whether a stream with lost members is rerouted or runs anew.
///
/// The new members of all streams that a loss interrupts read their tokens one
/// after the other. If that takes longer than the gap, a part of the streams
/// runs anew on other chains. All daemons divide the streams by the hash of the
/// request's id, so that no messages between them are needed.
RepairDecision ChooseRepair(const RepairInput& aInput);

}  // namespace zincstep
