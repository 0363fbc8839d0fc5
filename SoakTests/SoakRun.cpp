#include "SoakTests/Soak.h"

#include <signal.h>

namespace zincstep::soak {

namespace {

constexpr Micros kTick = 10ms;
/// Between requests of all callers together, for up to so many daemons; with
/// more of them it is shorter, and this at the least, which the upstreams bear.
constexpr Micros kRequestPause = 25ms;
constexpr int kFewDaemons = 4;
constexpr Micros kShortestRequestPause = 5ms;
constexpr Micros kShortestFaultPause = 200ms;
constexpr Micros kFaultPauseSpread = 500ms;
/// Longest time until all is served at the start, and again after the last
/// fault; generous, as the machine may be busy.
constexpr Micros kRecovery = 25s;
/// How long callers wait where a stream has to be finished; generous, as above.
constexpr Micros kLongPatience = 15s;
/// Streams that each of the first few daemons has open when its connections
/// fall silent, and the time that they have run by then.
constexpr int kStreamsAtOnce = 3;
constexpr Micros kStreamsRun = 80ms;
/// Retries that all daemons may save up, for each of them, and the fewest
/// daemons that are counted: the users' sites give 200 for eight. A hundred
/// daemons with 200 let two of twelve streams on silent connections wait for
/// more.
constexpr int kRetrySlack = 25;
constexpr int kSlackDaemons = 8;
/// A daemon ends within its grace (3 s); generous, as above.
constexpr Micros kLongestStop = 12s;
/// Lists of upstreams are known to all daemons by then: three proofs.
constexpr Micros kSettled = 2100ms;
/// An upstream that leaves gets no new work after "a few seconds".
constexpr Micros kDrainNotice = 4s;
/// For so long its requests are looked at from then on.
constexpr Micros kDrainWatch = 2s;
/// How late a link that accepts resets connections to an ended upstream.
constexpr Micros kShortestReset = 20ms;
constexpr Micros kResetSpread = 180ms;
/// How soon an upstream is back that is restarted at once.
constexpr Micros kShortestRestart = 20ms;
constexpr Micros kRestartSpread = 180ms;
/// Between two returns of the store from a copy.
constexpr Micros kShortestRestore = 2s;
constexpr Micros kRestoreSpread = 5s;
constexpr int kOk = 200;
/// The daemons' addresses are 127.0.0.10 and on, so that all use the same
/// ports, as on the platform.
constexpr int kFirstAddress = 10;

std::uint16_t FreePort(asio::io_context& aLoop) {
  const asio::ip::tcp::acceptor probe(
      aLoop, TcpEndpoint(asio::ip::address_v4::loopback(), 0));
  return probe.local_endpoint().port();
}

}  // namespace

std::string Configuration(int aVersion, bool aHasOther) {
  const std::string other =
      aHasOther ? R"(,{"name":"other","apiKeys":["key2"]})" : "";
  return R"({"configVersion":)" + std::to_string(aVersion) + R"(,"routes":[
 {"name":"s","hostname":"h","pathPrefix":"/safe/","routeType":"safe",
  "timeoutMs":3000,"maxAttempts":2,"backend":"plain"},
 {"name":"u","hostname":"h","pathPrefix":"/unsafe/","routeType":"unsafe",
  "timeoutMs":3000,"maxAttempts":1,"backend":"plain"},
 {"name":"l","hostname":"h","pathPrefix":"/llm/","routeType":"streaming",
  "timeoutMs":20000,"maxAttempts":3,"backend":"model","resumable":true}],
 "services":[{"name":"plain"},{"name":"model","engine":{"layers":4,
  "layer_mb":1,"kvTokenBytes":4,"step_ms":1,"usual":{"prompt":10,"answer":20},
  "models":[{"name":"m","load_s":0.2}],
  "kinds":[{"name":"k","mb":2.5,"pace":1,"read_x":1}]}}],
 "tenants":[{"name":"acme","apiKeys":["key1"]})" +
         other + "]}";
}

Soak::Soak(const SoakSettings& aSettings)
    : settings(aSettings),
      random(aSettings.seed),
      silenceRandom(Hash64("silence", aSettings.seed)),
      restoreRandom(Hash64("restore", aSettings.seed)),
      linkRandom(Hash64("link", aSettings.seed)),
      store(this->loop, this->clock),
      callers(this->loop, this->clock),
      timer(this->loop) {
  this->ledger.WriteEventsTo(aSettings.logs + "/soak.log");
  this->store.Put("op/config", Configuration(this->version, true));
  for (const char* domain : {"a", "b"}) {
    for (int i = 0; i < kPlainUpstreams; ++i) {
      this->AddUpstream("plain", domain, i);
    }
    for (int i = 0; i < kModelUpstreams; ++i) {
      this->AddUpstream("model", domain, i);
    }
  }
  this->AddDaemons();
}

void Soak::AddUpstream(const std::string& aService, const std::string& aDomain,
                       int aNumber) {
  this->upstreams.push_back(std::make_unique<SoakUpstream>(
      this->loop, this->clock, this->store, this->ledger, this->byAddress,
      aService + "-" + aDomain + std::to_string(aNumber), aService, aDomain));
  if (this->settings.hasLateLinks) {
    this->upstreams.back()->SetResetDelay(
        DrawFrom(this->linkRandom, kShortestReset, kResetSpread));
  }
  if (this->settings.hasQuickRestarts) {
    this->upstreams.back()->SetTimeToReturn(
        DrawFrom(this->linkRandom, kShortestRestart, kRestartSpread));
  }
}

void Soak::AddDaemons() {
  const std::string callers = ":" + std::to_string(FreePort(this->loop));
  const std::string admin = ":" + std::to_string(FreePort(this->loop));
  const std::string peers = ":" + std::to_string(FreePort(this->loop));
  for (int i = 0; i < this->settings.daemons; ++i) {
    auto daemon = std::make_unique<Daemon>();
    const std::string host = "127.0.0." + std::to_string(kFirstAddress + i);
    daemon->storeLink =
        std::make_unique<FaultProxy>(this->loop, this->store.Port());
    daemon->address = ParseEndpoint(host + callers).value();
    const std::string name = "d" + std::to_string(i);
    daemon->process = std::make_unique<DaemonProcess>(
        this->settings.daemon, this->settings.logs + "/" + name + ".log",
        std::map<std::string, std::string>{
            {"ZINCSTEP_NAME", name},
            {"ZINCSTEP_FAILURE_DOMAIN", i % 2 == 0 ? "a" : "b"},
            {"ZINCSTEP_LISTEN", host + callers},
            {"ZINCSTEP_ADMIN_LISTEN", host + admin},
            {"ZINCSTEP_PEER_LISTEN", host + peers},
            {"ZINCSTEP_STORE", daemon->storeLink->Address()},
            {"ZINCSTEP_SEEDS",
             "127.0.0." + std::to_string(kFirstAddress) + peers},
            {"ZINCSTEP_KEY_REVOCATION_MS",
             std::to_string(kKeyRevocation / 1ms)},
            {"ZINCSTEP_RETRY_SLACK",
             std::to_string(kRetrySlack *
                            std::max(kSlackDaemons, this->settings.daemons))},
            {"ZINCSTEP_STOP_GRACE_S", "3"}});
    this->daemons.push_back(std::move(daemon));
  }
}

SoakOutcome Soak::Run() {
  for (const auto& daemon : this->daemons) {
    if (!daemon->process->Start()) {
      this->ledger.Broken("a daemon could not be started");
    }
  }
  this->Tick();
  if (!this->WaitUntilServed()) {
    this->ledger.Broken("not all was served before the first fault");
  }
  this->injects = true;
  this->nextSilence = this->clock.Now() + this->DrawSilencePause();
  this->nextRestore = this->clock.Now() + kShortestRestore;
  this->loop.run_for(this->settings.faults);
  this->injects = false;
  this->HealAll();
  if (!this->WaitUntilServed()) {
    this->ledger.Broken("not all was served again after the last fault");
  }
  // What has just healed is known to all daemons first: a stream that meets
  // other faults besides may use up its attempts.
  this->loop.run_for(kSettled);
  this->CheckPlannedStop();
  this->CheckSilentStreams();
  this->CheckSilentLoss();
  if (this->settings.hasCrashingRequest) {
    this->CheckCrashingRequest();
  }
  if (this->settings.hasLimits) {
    this->CheckLimits();
  }
  // Whoever was refused must not run later either.
  this->loop.run_for(kCallerPatience);
  this->outcome.broken = this->ledger.Close();
  this->outcome.requests = this->ledger.Requests();
  this->outcome.answers = this->ledger.Answers();
  return std::move(this->outcome);
}

bool Soak::WaitUntilServed() {
  for (const auto& daemon : this->daemons) {
    daemon->answered.fill(false);
  }
  const Instant end = this->clock.Now() + kRecovery;
  while (this->clock.Now() < end) {
    this->loop.run_for(100ms);
    const bool isServed = std::all_of(
        this->daemons.begin(), this->daemons.end(), [](const auto& aDaemon) {
          return std::all_of(aDaemon->answered.begin(), aDaemon->answered.end(),
                             [](bool aAnswered) { return aAnswered; });
        });
    if (isServed) {
      return true;
    }
  }
  return false;
}

void Soak::Tick() {
  const Instant now = this->clock.Now();
  this->store.Tick();
  for (const auto& upstream : this->upstreams) {
    upstream->Tick();
  }
  std::vector<Heal> due;
  std::erase_if(this->heals, [&](Heal& aHeal) {
    const bool isDue = now >= aHeal.at;
    if (isDue) {
      due.push_back(std::move(aHeal));
    }
    return isDue;
  });
  for (const Heal& heal : due) {
    heal.act();
  }
  for (const auto& daemon : this->daemons) {
    if (!daemon->isDown && !daemon->process->IsRunning()) {
      daemon->process->Start();
    }
  }
  this->SendDue(now);
  if (this->injects && now >= this->nextFault) {
    this->nextFault = now + this->Draw(kShortestFaultPause, kFaultPauseSpread);
    this->Inject();
  }
  if (this->injects && this->settings.hasRestores && now >= this->nextRestore) {
    this->nextRestore =
        now + DrawFrom(this->restoreRandom, kShortestRestore, kRestoreSpread);
    this->RestoreStore();
  }
  if (this->injects && now >= this->nextSilence) {
    this->nextSilence = now + this->DrawSilencePause();
    this->SilenceOpenConnections();
  }
  this->timer.expires_after(kTick);
  this->timer.async_wait([this](const asio::error_code& aError) {
    if (!aError) {
      this->Tick();
    }
  });
}

void Soak::SendDue(Instant aNow) {
  const Micros pause = std::max(
      kShortestRequestPause, kRequestPause * kFewDaemons /
                                 std::max(kFewDaemons, this->settings.daemons));
  if (aNow < this->nextRequest) {
    return;
  }
  // A tick that came late is not made up for.
  this->nextRequest = std::max(this->nextRequest, aNow - kTick);
  while (aNow >= this->nextRequest) {
    this->nextRequest += pause;
    this->SendNext();
  }
}

void Soak::SendNext() {
  constexpr int kOtherShare = 5;
  const std::size_t pick = this->random.Below(this->daemons.size());
  const auto kind = static_cast<RequestKind>(this->random.Below(3));
  this->Send(*this->daemons[pick], kind, this->random.Below(kOtherShare) == 0);
}

std::string Soak::Send(Daemon& aDaemon, RequestKind aKind, bool aIsOther,
                       Micros aPatience, const char* aPath) {
  constexpr std::array kPaths{"/safe/x", "/unsafe/x", "/llm/x"};
  const std::string path =
      aPath != nullptr ? aPath : kPaths[static_cast<std::size_t>(aKind)];
  this->lastRequest += 1;
  const std::string id = "r" + std::to_string(this->lastRequest);
  // Half of the callers keep their connections until the process is gone.
  const bool keeps = this->lastRequest % 2 == 0;
  this->ledger.Sent(id, aKind, aIsOther ? "other" : "acme", this->clock.Now());
  const std::string text =
      "POST " + path + " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: " + id +
      "\r\nX-Deadline-Ms: " + std::to_string(aPatience / 1ms) +
      "\r\nAuthorization: Bearer " + (aIsOther ? "key2" : "key1") +
      "\r\nX-Token-Usage: 10,60\r\n" + (keeps ? "" : "Connection: close\r\n") +
      "Content-Length: 2\r\n\r\n{}";
  this->callers.Send(
      aDaemon.address, text, keeps, aPatience,
      [this, id, aKind, &aDaemon](const Result<HttpResponse>& aAnswer) {
        this->OnAnswer(id, aKind, aDaemon, aAnswer);
      });
  return id;
}

void Soak::OnAnswer(const std::string& aId, RequestKind aKind, Daemon& aDaemon,
                    const Result<HttpResponse>& aAnswer) {
  constexpr std::array kNotRun{408, 421, 429, 503};
  if (!aAnswer) {
    if (aAnswer.error().kind == ErrorKind::ResponseIncomplete) {
      this->ledger.Cut(aId);
    }
    return;  // Broken off or late: nothing was promised.
  }
  if (std::find(kNotRun.begin(), kNotRun.end(), aAnswer->status) !=
      kNotRun.end()) {
    this->ledger.Ended(aId, Told::NotRun);
    return;
  }
  if (aAnswer->status != kOk) {
    return;
  }
  std::string expected = BodyFor(aId);
  if (aKind == RequestKind::Stream) {
    expected.clear();
    for (int event = 1; event <= EventsFor(aId); ++event) {
      expected += EventFor(aId, event);
    }
  }
  if (aAnswer->body != expected ||
      FindHeader(aAnswer->headers, "X-Response-Seal") != "seal-" + aId) {
    this->ledger.Broken("request " + aId +
                        " got a success that is not its own");
  }
  this->ledger.Ended(aId, Told::Answered);
  aDaemon.answered[static_cast<std::size_t>(aKind)] = true;
}

std::vector<std::string> Soak::StartStreams() {
  std::vector<std::string> streams;
  for (int i = 0; i < kFewDaemons * kStreamsAtOnce; ++i) {
    Daemon& daemon = *this->daemons[static_cast<std::size_t>(
        i % std::min(kFewDaemons, this->settings.daemons))];
    streams.push_back(
        this->Send(daemon, RequestKind::Stream, false, kLongPatience));
  }
  this->loop.run_for(kStreamsRun);
  return streams;
}

void Soak::CheckPlannedStop() {
  this->ledger.ForgetCuts();
  this->StartStreams();
  Daemon& daemon =
      *this->daemons[this->silenceRandom.Below(this->daemons.size())];
  this->Note("planned stop of " + daemon.address.address().to_string());
  daemon.isDown = true;
  daemon.process->Signal(SIGTERM);
  const Instant end = this->clock.Now() + kLongestStop;
  while (daemon.process->IsRunning() && this->clock.Now() < end) {
    this->loop.run_for(100ms);
  }
  if (daemon.process->IsRunning()) {
    this->ledger.Broken("a stopped daemon has not ended");
  }
  this->ledger.CheckCuts("by a planned stop");
  daemon.isDown = false;
  if (!this->WaitUntilServed()) {
    this->ledger.Broken("not all was served after a planned stop");
  }
}

void Soak::CheckSilentStreams() {
  const std::vector<std::string> streams = this->StartStreams();
  this->SilenceOpenConnections();
  const auto isOpen = [this](const std::string& aId) {
    return !this->ledger.IsAnswered(aId);
  };
  const Instant end = this->clock.Now() + kLongPatience;
  while (std::any_of(streams.begin(), streams.end(), isOpen) &&
         this->clock.Now() < end) {
    this->loop.run_for(100ms);
  }
  for (const std::string& id : streams) {
    if (isOpen(id)) {
      this->ledger.Broken("stream " + id +
                          " was not finished after connections fell silent");
    }
  }
}

void Soak::CheckSilentLoss() {
  this->SilenceOpenConnections();
  if (!this->LoseModelUpstream()) {
    this->ledger.Broken("no upstream of the model lives");
    return;
  }
  const auto leaving = std::find_if(
      this->upstreams.begin(), this->upstreams.end(),
      [](const auto& aOne) { return aOne->IsOfModel() && aOne->IsAlive(); });
  if (leaving == this->upstreams.end()) {
    this->ledger.Broken("only one upstream of the model lived");
    return;
  }
  this->Note("an upstream of the model leaves");
  (*leaving)->Drain();
  this->loop.run_for(kDrainNotice);
  (*leaving)->EndDrainNotice();
  this->loop.run_for(kDrainWatch);
  (*leaving)->Restart();
  if (!this->WaitUntilServed()) {
    this->ledger.Broken("not all was served after connections fell silent");
  }
}

SoakOutcome RunSoak(const SoakSettings& aSettings) {
  return Soak(aSettings).Run();
}

}  // namespace zincstep::soak
