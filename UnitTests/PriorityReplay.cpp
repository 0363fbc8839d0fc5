#include "PriorityReplay.h"

#include <algorithm>
#include <cmath>

namespace zincstep {

namespace {

constexpr std::size_t kUpstreams = 4;
constexpr int kSlots = 44;
constexpr int kMaxQueued = 22;
/// Mean and bounds of a response's duration, in seconds.
constexpr double kMeanResponse = 2.2;
constexpr double kMinResponse = 0.4;
/// Time from the start on an upstream to the first event.
constexpr Micros kFirstEvent = 140ms;
constexpr Micros kOneWay = 2ms;
constexpr Micros kTick = 25ms;
constexpr Micros kRefusalBackoff = 300ms;
constexpr int kMaxSends = 2;
/// Retry-After of daemons that do not schedule, and the bound that callers
/// honour.
constexpr double kPlainRetryAfter = 2.1;
constexpr Micros kMaxRetryAfter = 3s;
constexpr Micros kMinRetryAfter = 100ms;
constexpr double kMeanTokens = 944;

}  // namespace

int PriorityReplay::SimulatedUpstream::Queued() const {
  std::size_t count = 0;
  for (const auto& queue : this->queued) {
    count += queue.size();
  }
  return static_cast<int>(count);
}

PriorityReplay::PriorityReplay(PriorityLoad aLoad, std::uint64_t aSeed)
    : load(aLoad), random(aSeed) {
  this->model.layers = 4;
  this->model.layerMb = 1;
  this->model.tokenMb = 0.01;
  this->model.stepTime = 1ms;
  this->model.readTokensPerSecond = 6000;
  this->model.usualPrompt = 772;
  this->model.usualAnswer = 172;
  this->model.kinds = {{"k", 1000, 1, 1}};
  this->upstreams.resize(kUpstreams);
  this->daemons.resize(static_cast<std::size_t>(this->load.daemons));
  for (std::size_t i = 0; i < this->daemons.size(); ++i) {
    this->daemons[i].name = "daemon" + std::to_string(i);
    this->Restart(i);
  }
  double tokens = 0;
  for (const UpstreamPtr& upstream : this->daemons[0].view) {
    tokens += ChainChooser::Capacity(this->model, upstream->Entry()) *
              ChainChooserSettings{}.memoryLimit / this->model.layers;
  }
  this->requestsPerSecond =
      this->load.load * tokens / kMeanTokens / kMeanResponse;
}

void PriorityReplay::At(Instant aAt, std::function<void()> aRun) {
  this->events.push({aAt, ++this->lastSequence, std::move(aRun)});
}

bool PriorityReplay::IsInBurst() const {
  const Micros since = this->now - this->begin - this->load.burstAt;
  return since >= Micros{0} && since < this->load.burstLength;
}

Micros PriorityReplay::ReportInterval() const {
  return std::max<Micros>(400ms, FromSeconds(this->load.daemons / 100.0));
}

void PriorityReplay::Restart(std::size_t aDaemon) {
  Daemon& daemon = this->daemons[aDaemon];
  daemon.start += 1;
  daemon.view.clear();
  daemon.peerWork = PeerWork{};
  daemon.peers.clear();
  for (std::size_t i = 0; i < kUpstreams; ++i) {
    UpstreamEntry entry;
    entry.id = "u" + std::to_string(i);
    entry.service = "model";
    entry.failureDomain = this->domain;
    entry.slots = kSlots;
    entry.layers = {0, this->model.layers};
    entry.kind = "k";
    daemon.view.push_back(std::make_shared<LiveUpstream>(entry));
  }
  daemon.capacity =
      std::make_unique<ServiceCapacity>(ChainChooserSettings{}.memoryLimit);
  daemon.capacity->SetDomain(this->daemons.size(), this->ReportInterval());
}

PriorityReplayResult PriorityReplay::Run() {
  for (int priority = 0; priority < kReplayPriorities; ++priority) {
    this->ScheduleArrival(priority);
  }
  for (std::size_t i = 0; i < this->daemons.size(); ++i) {
    const Micros offset =
        FromSeconds(ToSeconds(this->ReportInterval()) * this->random.Unit());
    this->At(this->now + offset, [this, i] { this->SendReport(i); });
  }
  this->At(this->begin + this->load.burstAt, [this] {
    for (std::size_t i = 0; i < static_cast<std::size_t>(this->load.restarted);
         ++i) {
      for (std::size_t id = 0; id < this->requests.size(); ++id) {
        Request& request = this->requests[id];
        if (request.daemon == i && this->daemons[i].capacity->Remove(id + 1)) {
          this->Finish(id, &PriorityOutcome::refused);
        }
      }
      this->Restart(i);
    }
  });
  const Instant end = this->begin + this->load.length + 8s;
  while (!this->events.empty() && this->events.top().at < end) {
    const Event event = this->events.top();
    this->events.pop();
    this->now = event.at;
    event.run();
  }
  return this->result;
}

void PriorityReplay::ScheduleArrival(int aPriority) {
  double rate = this->requestsPerSecond *
                this->load.mix[static_cast<std::size_t>(aPriority)];
  if (aPriority == 0 && this->IsInBurst()) {
    rate *= this->load.burstFactor;
  }
  if (rate <= 0) {
    return;
  }
  // The first organisation has its usual part and the excess.
  const double part = 1.0 / this->load.organisations;
  rate *= 1 + part * (this->load.organisationFactor - 1);
  const Micros wait = FromSeconds(-std::log(1 - this->random.Unit()) / rate);
  const Instant at = this->now + std::min<Micros>(wait, 1s);
  const bool isArrival = wait <= Micros{1s};
  if (at - this->begin < this->load.length) {
    this->At(at, [this, aPriority, isArrival] {
      if (isArrival) {
        this->OnArrival(aPriority);
      }
      this->ScheduleArrival(aPriority);
    });
  }
}

void PriorityReplay::OnArrival(int aPriority) {
  Request request;
  request.priority = aPriority;
  const double usual = 1.0 / this->load.organisations;
  const double first = usual * this->load.organisationFactor;
  const bool isFirst = this->random.Unit() < first / (first + 1 - usual);
  request.organisation =
      isFirst
          ? 0
          : 1 + static_cast<int>(this->random.Below(
                    static_cast<std::uint64_t>(this->load.organisations - 1)));
  request.tokens = kMeanTokens * (0.5 + this->random.Unit());
  request.arrivedAt = this->now;
  request.isInBurst = this->IsInBurst();
  request.returnsEarly = this->random.Unit() < this->load.earlyShare;
  request.daemon = this->random.Below(this->daemons.size());
  this->requests.push_back(request);
  this->Attempt(this->requests.size() - 1);
}

CapacityInput PriorityReplay::InputOf(std::size_t aDaemon) const {
  return {
      this->model, this->daemons[aDaemon].view, this->domain, kMeanResponse, 0,
      this->now};
}

void PriorityReplay::Attempt(std::size_t aRequest) {
  Request& request = this->requests[aRequest];
  Daemon& daemon = this->daemons[request.daemon];
  request.attempts += 1;
  request.attemptAt = this->now;
  request.sends = 0;
  request.daemonStart = daemon.start;
  if (!this->load.isOn) {
    if (!this->TryStart(aRequest, daemon.view)) {
      this->Refuse(aRequest, false);
    }
    return;
  }
  const std::string organisation = std::to_string(request.organisation);
  daemon.capacity->OnRequest(request.priority, organisation, request.tokens,
                             this->now);
  WaitingRequest waiting;
  waiting.id = aRequest + 1;
  waiting.priority = request.priority;
  waiting.organisation = organisation;
  waiting.tokens = request.tokens;
  waiting.bodyBytes = 4000;
  waiting.startBy =
      this->now +
      this->load.objectives[static_cast<std::size_t>(request.priority)] -
      daemon.capacity->UsualFirstEvent(this->model);
  const RefusalHistory history =
      daemon.capacity->Refused().HistoryOf(Fingerprint{aRequest}, this->now);
  for (const std::uint64_t refused :
       daemon.capacity->Add(waiting, history, this->InputOf(request.daemon))) {
    this->Refuse(refused - 1, true);
  }
  this->RunPass(request.daemon);
}

void PriorityReplay::RunPass(std::size_t aDaemon) {
  ServiceCapacity& capacity = *this->daemons[aDaemon].capacity;
  if (capacity.Queue().Waiting() == 0) {
    return;
  }
  while (const auto start = capacity.NextStart(this->InputOf(aDaemon))) {
    if (this->TryStart(start->id - 1, *start->upstreams)) {
      capacity.OnStarted(start->id);
    } else {
      capacity.Defer(start->id);
    }
  }
  capacity.EndPass(this->now);
  for (const std::uint64_t id : capacity.PopExpired(this->now)) {
    this->Refuse(id - 1, true);
  }
  this->result.mostWaiting =
      std::max(this->result.mostWaiting, capacity.Queue().Waiting());
  if (capacity.Queue().Waiting() > 0) {
    const int start = this->daemons[aDaemon].start;
    this->At(this->now + kTick, [this, aDaemon, start] {
      if (this->daemons[aDaemon].start == start) {
        this->RunPass(aDaemon);
      }
    });
  }
}

bool PriorityReplay::TryStart(std::size_t aRequest,
                              const std::vector<UpstreamPtr>& aUpstreams) {
  Request& request = this->requests[aRequest];
  const auto chain =
      this->chooser.Choose(this->model, aUpstreams, this->domain,
                           request.tokens, this->now, this->random);
  if (!chain) {
    return false;
  }
  const std::string& id = chain->front().upstream->Entry().id;
  request.upstream = static_cast<std::size_t>(std::stoi(id.substr(1)));
  request.sends += 1;
  LiveUpstream& view = *this->daemons[request.daemon].view[request.upstream];
  view.localWork += request.tokens * this->model.layers;
  view.firstStage.OnStarted(this->now);
  this->At(this->now + kOneWay, [this, aRequest] { this->OnSent(aRequest); });
  return true;
}

void PriorityReplay::OnSent(std::size_t aRequest) {
  Request& request = this->requests[aRequest];
  SimulatedUpstream& upstream = this->upstreams[request.upstream];
  const double memory = ChainChooser::Capacity(
      this->model, this->daemons[0].view[request.upstream]->Entry());
  const bool hasMemory =
      upstream.used + request.tokens * this->model.layers <= memory;
  if (!hasMemory || upstream.Queued() >= kMaxQueued) {
    this->result.rejected += 1;
    this->At(this->now + kOneWay,
             [this, aRequest] { this->OnRejected(aRequest); });
    return;
  }
  upstream.used += request.tokens * this->model.layers;
  if (upstream.running < kSlots) {
    this->Run(aRequest);
  } else {
    upstream.queued[static_cast<std::size_t>(request.priority)].push_back(
        aRequest);
    this->result.mostQueued =
        std::max(this->result.mostQueued, upstream.Queued());
  }
}

void PriorityReplay::Run(std::size_t aRequest) {
  this->upstreams[this->requests[aRequest].upstream].running += 1;
  this->At(this->now + kFirstEvent, [this, aRequest] {
    Request& request = this->requests[aRequest];
    const Micros delay = this->now - request.attemptAt;
    const bool isInTime =
        delay <=
        this->load.objectives[static_cast<std::size_t>(request.priority)];
    this->Finish(aRequest,
                 isInTime ? &PriorityOutcome::inTime : &PriorityOutcome::late);
    Daemon& daemon = this->daemons[request.daemon];
    if (daemon.start == request.daemonStart) {
      daemon.capacity->OnFirstEvent(kFirstEvent + 2 * kOneWay);
    }
  });
  const double length = kMinResponse - std::log(1 - this->random.Unit()) *
                                           (kMeanResponse - kMinResponse);
  this->At(this->now + FromSeconds(length),
           [this, aRequest] { this->OnStreamEnd(aRequest); });
}

void PriorityReplay::Release(std::size_t aRequest, bool aWasStarted) {
  const Request& request = this->requests[aRequest];
  Daemon& daemon = this->daemons[request.daemon];
  if (daemon.start != request.daemonStart) {
    return;  // The daemon has restarted and knows nothing of it.
  }
  LiveUpstream& view = *daemon.view[request.upstream];
  view.localWork -= request.tokens * this->model.layers;
  view.firstStage.OnEnded();
  daemon.capacity->OnWorkChanged();
  if (aWasStarted && this->load.isOn) {
    daemon.capacity->OnEnded(
        request.priority, std::to_string(request.organisation), request.tokens);
    this->RunPass(request.daemon);
  }
}

void PriorityReplay::OnStreamEnd(std::size_t aRequest) {
  const Request request = this->requests[aRequest];
  SimulatedUpstream& upstream = this->upstreams[request.upstream];
  upstream.running -= 1;
  upstream.used -= request.tokens * this->model.layers;
  for (auto& queue : upstream.queued) {
    if (!queue.empty()) {
      const std::size_t next = queue.front();
      queue.pop_front();
      this->Run(next);
      break;
    }
  }
  this->Release(aRequest, true);
}

void PriorityReplay::OnRejected(std::size_t aRequest) {
  Request& request = this->requests[aRequest];
  Daemon& daemon = this->daemons[request.daemon];
  if (daemon.start != request.daemonStart) {
    this->Finish(aRequest, &PriorityOutcome::refused);
    return;
  }
  daemon.view[request.upstream]->EjectUntil(this->now + kRefusalBackoff);
  this->Release(aRequest, false);
  if (request.sends < kMaxSends && this->TryStart(aRequest, daemon.view)) {
    return;
  }
  if (this->load.isOn) {
    daemon.capacity->OnEnded(
        request.priority, std::to_string(request.organisation), request.tokens);
  }
  this->Refuse(aRequest, true);
}

void PriorityReplay::Refuse(std::size_t aRequest, bool) {
  Request& request = this->requests[aRequest];
  Daemon& daemon = this->daemons[request.daemon];
  request.wasRefused = true;
  if (request.attempts >= 2) {
    this->Finish(aRequest, &PriorityOutcome::refused);
    return;
  }
  Micros after = FromSeconds(kPlainRetryAfter * (0.5 + this->random.Unit()));
  if (this->load.isOn) {
    const auto expected = daemon.capacity->ExpectedWait(
        request.priority, std::to_string(request.organisation), request.tokens,
        this->InputOf(request.daemon));
    const double share =
        (request.priority == 0 ? 0.5 : 1.0) + 0.5 * this->random.Unit();
    after = FromSeconds(
        ToSeconds(std::max(kMinRetryAfter, expected.value_or(1s))) * share);
  }
  after = std::min(after, kMaxRetryAfter);
  daemon.capacity->Refused().OnRefused(Fingerprint{aRequest}, after, this->now);
  // With few daemons, some retries come back to the same one.
  request.daemon = this->random.Below(this->daemons.size());
  this->At(this->now + (request.returnsEarly ? 5ms : after),
           [this, aRequest] { this->Attempt(aRequest); });
}

void PriorityReplay::Finish(std::size_t aRequest,
                            int PriorityOutcome::*aOutcome) {
  const Request& request = this->requests[aRequest];
  const auto priority = static_cast<std::size_t>(request.priority);
  std::vector<PriorityOutcome*> outcomes{
      &this->result.all[priority], request.organisation == 0
                                       ? &this->result.firstOrganisation
                                       : &this->result.otherOrganisations};
  if (request.isInBurst) {
    outcomes.push_back(&this->result.burst[priority]);
  }
  if (request.wasRefused) {
    outcomes.push_back(request.returnsEarly ? &this->result.early
                                            : &this->result.patient);
  }
  for (PriorityOutcome* outcome : outcomes) {
    outcome->requests += 1;
    outcome->*aOutcome += 1;
  }
}

void PriorityReplay::SendReport(std::size_t aDaemon) {
  this->At(this->now + this->ReportInterval(),
           [this, aDaemon] { this->SendReport(aDaemon); });
  Daemon& daemon = this->daemons[aDaemon];
  std::vector<std::pair<double, int>> works;
  for (const UpstreamPtr& upstream : daemon.view) {
    works.emplace_back(upstream->localWork, upstream->firstStage.Local());
  }
  const auto demands = daemon.capacity->Demands(this->now);
  const auto organisations = daemon.capacity->Shares().Largest(8, this->now);
  const auto isCut = [this](std::size_t aOne) {
    return aOne < static_cast<std::size_t>(this->load.partitioned) &&
           this->now - this->begin >= this->load.burstAt;
  };
  for (std::size_t i = 0; i < this->daemons.size(); ++i) {
    const bool isLost = this->random.Unit() < this->load.lostReports;
    if (i == aDaemon || isCut(i) != isCut(aDaemon) || isLost) {
      continue;
    }
    const Micros delay = 10ms + FromSeconds(0.08 * this->random.Unit());
    this->At(this->now + delay,
             [this, i, name = daemon.name, works, demands, organisations] {
               this->ApplyReport(i, name, works, demands, organisations);
             });
  }
}

void PriorityReplay::RevertReport(Daemon& aDaemon, const PeerReport& aReport) {
  for (std::size_t i = 0; i < aReport.counts.size(); ++i) {
    aDaemon.view[i]->firstStage.RemoveRemote(aReport.counts[i]);
  }
}

void PriorityReplay::ApplyReport(
    std::size_t aDaemon, const std::string& aSender,
    const std::vector<std::pair<double, int>>& aWorks,
    const std::vector<PriorityDemand>& aDemands,
    const std::vector<OrganisationDemand>& aOrganisations) {
  Daemon& daemon = this->daemons[aDaemon];
  std::vector<PeerShare> shares;
  PeerReport report;
  report.at = this->now;
  for (std::size_t i = 0; i < aWorks.size(); ++i) {
    shares.push_back({daemon.view[i], aWorks[i].first});
    report.counts.push_back(aWorks[i].second);
    daemon.view[i]->firstStage.AddRemote(aWorks[i].second);
  }
  daemon.peerWork.Update(aSender, std::move(shares), this->now);
  const auto previous = daemon.peers.find(aSender);
  if (previous != daemon.peers.end()) {
    RevertReport(daemon, previous->second);
  }
  daemon.peers[aSender] = std::move(report);
  const Micros maxAge = 4 * this->ReportInterval();
  daemon.peerWork.Tick(this->now, maxAge);
  std::erase_if(daemon.peers, [&](const auto& aEntry) {
    const bool isOld = this->now - aEntry.second.at > maxAge;
    if (isOld) {
      RevertReport(daemon, aEntry.second);
    }
    return isOld;
  });
  daemon.capacity->OnPeerDemands(aSender, aDemands, this->now);
  daemon.capacity->OnPeerOrganisations(aSender, aOrganisations, this->now);
  daemon.capacity->Tick(this->now);
  daemon.capacity->OnWorkChanged();
  if (this->load.isOn) {
    this->RunPass(aDaemon);
  }
}

}  // namespace zincstep
