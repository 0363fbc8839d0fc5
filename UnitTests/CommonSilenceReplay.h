#pragma once

#include <memory>
#include <vector>

#include "Zincstep/Edge/WorkExchange.h"
#include "Zincstep/Relay/ForwardChooser.h"
#include "Zincstep/Relay/ReachMonitor.h"

namespace zincstep {

/// Rules for the hand-over of a begun stream whose run is silent but still
/// open, at a daemon that counts itself as cut off.
enum class HandOverDesign {
  /// To any daemon that has not refused lately.
  AnyPeer,
  /// Not while most of its unreachable upstreams are suspected by a peer too.
  AgreedSilence,
  /// Only to a daemon that does not report to be cut off itself.
  ReachingPeer
};

/// Settings of a replay: daemons of two failure domains, each with one begun
/// stream at each upstream, that fall silent.
struct SilenceReplaySettings {
  HandOverDesign design = HandOverDesign::ReachingPeer;
  int daemons = 40;
  int upstreams = 5;
  /// The first ones are silent for this time.
  int silentUpstreams = 0;
  Micros silence = 1s;
  /// The first daemons of domain "a" have no path to any upstream meanwhile.
  int cutOffDaemons = 0;
  /// Above, daemons report only to those of their own domain.
  int maxFullGossip = 16;
  std::uint64_t seed = 1;
};

/// Outcome of a replay, summed over the begun streams that fell silent.
struct SilenceReplayOutcome {
  int streams = 0;
  /// Open runs that were cancelled in order to hand the stream over.
  int cancelledRuns = 0;
  /// Of these, the streams that no daemon continued at once.
  int lostRuns = 0;
  int refusals = 0;
  /// Time that the streams stood still, all together.
  Micros stalled{0};
  /// Streams of daemons without a path that stood still when it was back.
  int stalledWithoutPath = 0;
};

/// Replays a silence without sockets: suspicions, reports, choices of daemons
/// and refusals, with the daemons' own rules.
SilenceReplayOutcome ReplaySilence(const SilenceReplaySettings& aSettings);

}  // namespace zincstep
