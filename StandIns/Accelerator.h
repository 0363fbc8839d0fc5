#pragma once

#include <deque>
#include <functional>

#include "StandIns/StandInServer.h"

namespace zincstep::standins {

/// Speed and batch size of a stand-in accelerator.
struct AcceleratorSettings {
  /// Time of one layer of a decode step, in microseconds.
  Micros layerStep = 1ms;
  /// Maximum number of jobs in a batch.
  int slots = 8;
  /// Time to prefill one token through one layer, in nanoseconds.
  std::int64_t prefillLayerNanos = 20000;
};

/// Simulates the batching of an engine with continuous batching.
///
/// A batch takes as long as its longest job or chunk; jobs beyond the batch
/// size are queued. A long prefill is split into chunks, one per batch, so that
/// it does not block other jobs.
class Accelerator {
 public:
  /// Called with the queueing time and the compute time of the job.
  using Done = std::function<void(Micros, Micros)>;

  Accelerator(StandInServer& aServer, AcceleratorSettings aSettings)
      : server(aServer), settings(aSettings) {}

  /// Enqueues one decode step of `aLayers` layers.
  void Decode(int aLayers, Done aDone);
  /// Enqueues the prefill of `aTokens` tokens through `aLayers` layers.
  void Prefill(int aTokens, int aLayers, Done aDone);

  /// Number of queued and running jobs.
  std::size_t Load() const { return this->queue.size() + this->runningJobs; }
  /// Multiplies the duration of every batch by `aSlowdown`.
  void SetSlowdown(double aSlowdown) { this->slowdown = aSlowdown; }
  /// While set, no new batch starts.
  void SetStalled(bool aStalled);

 private:
  struct Job {
    Micros remaining{0};
    Micros computeTime{0};
    Instant queuedAt;
    Micros queueTime{0};
    Done done;
  };

  void Enqueue(Micros aCost, Done aDone);
  void RunBatch();

  StandInServer& server;
  AcceleratorSettings settings;
  SystemClock clock;
  std::deque<Job> queue;
  std::size_t runningJobs = 0;
  bool stalled = false;
  double slowdown = 1;
};

}  // namespace zincstep::standins
