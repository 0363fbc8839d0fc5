#include "StandIns/Accelerator.h"

#include <algorithm>

namespace zincstep::standins {

namespace {

/// Maximum compute time of a prefill in one batch.
constexpr Micros kPrefillChunk = 10ms;

}  // namespace

void Accelerator::Decode(int aLayers, Done aDone) {
  this->Enqueue(this->settings.layerStep * aLayers, std::move(aDone));
}

void Accelerator::Prefill(int aTokens, int aLayers, Done aDone) {
  const std::int64_t nanos =
      this->settings.prefillLayerNanos * aTokens * aLayers;
  this->Enqueue(Micros{nanos / 1000}, std::move(aDone));
}

void Accelerator::Enqueue(Micros aCost, Done aDone) {
  Job job;
  job.remaining = aCost;
  job.queuedAt = this->clock.Now();
  job.done = std::move(aDone);
  this->queue.push_back(std::move(job));
  this->RunBatch();
}

void Accelerator::SetStalled(bool aStalled) {
  this->stalled = aStalled;
  this->RunBatch();
}

void Accelerator::RunBatch() {
  if (this->runningJobs > 0 || this->queue.empty() || this->stalled) {
    return;
  }
  auto batch = std::make_shared<std::vector<Job>>();
  Micros batchCost{0};
  while (!this->queue.empty() &&
         batch->size() < static_cast<std::size_t>(this->settings.slots)) {
    Job job = std::move(this->queue.front());
    this->queue.pop_front();
    job.queueTime += this->clock.Now() - job.queuedAt;
    batchCost = std::max(batchCost, std::min(job.remaining, kPrefillChunk));
    batch->push_back(std::move(job));
  }
  this->runningJobs = batch->size();
  const Micros duration{static_cast<std::int64_t>(
      static_cast<double>(batchCost.count()) * this->slowdown)};
  const Instant start = this->clock.Now();
  this->server.RunAfter(duration, [this, batch, batchCost, start] {
    const Micros elapsed = this->clock.Now() - start;
    this->runningJobs = 0;
    for (Job& job : *batch) {
      job.remaining -= batchCost;
      job.computeTime += elapsed;
      if (job.remaining <= 0us) {
        job.done(job.queueTime, job.computeTime);
        continue;
      }
      job.queuedAt = this->clock.Now();
      this->queue.push_front(std::move(job));
    }
    this->RunBatch();
  });
}

}  // namespace zincstep::standins
