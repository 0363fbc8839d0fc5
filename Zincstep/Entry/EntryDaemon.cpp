#include "Zincstep/Entry/EntryDaemon.h"

#include <algorithm>
#include <atomic>
#include <charconv>
#include <csignal>
#include <cstdio>
#include <random>
#include <thread>

#include "Zincstep/Entry/Router.h"
#include "Zincstep/Process/Process.h"

namespace zincstep {

namespace {

constexpr std::size_t kMaxEvents = 1 << 15;
/// Time after which the servers stop although callers have not read all of
/// their responses: the platform may end the VM soon after the drain limit.
constexpr auto kFinalWriteLimit = std::chrono::seconds(2);
/// Time in which requests on connections that are open at the close of the
/// listener are still read and refused.
constexpr auto kLastReadTime = std::chrono::milliseconds(100);
constexpr auto kFinalWritePoll = std::chrono::milliseconds(5);

/// Waits until all responses of `aServer` are written, up to the limit.
void WaitForWrites(const HttpServer& aServer) {
  const auto end = std::chrono::steady_clock::now() + kFinalWriteLimit;
  while (aServer.Unsent() > 0 && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(kFinalWritePoll);
  }
  if (const std::size_t unsent = aServer.Unsent(); unsent > 0) {
    LogWarning("responses_unsent", {{"responses", unsent}});
  }
}

/// Maximum of the incomplete responses of services and engines together, above
/// 16 KiB each, in bytes: that of an edge daemon on the default VM.
constexpr std::size_t kMaxResponseBytes = 32 << 20;
/// The same for the platform's, of which three threads await one each.
/// Separate, so that failing services can't use up what configuration reads
/// need.
constexpr std::size_t kMaxPlatformBytes = 32 << 20;

/// Returns the settings of a server on `aAddress`, whose form the reader of the
/// settings has checked; the port is 0 if it has none.
HttpServerSettings ServerSettings(const EntrySettings& aSettings,
                                  const std::string& aAddress) {
  HttpServerSettings settings;
  const std::size_t colon = aAddress.rfind(':');
  settings.address = aAddress.substr(0, colon);
  if (colon != std::string::npos) {
    const char* end = aAddress.data() + aAddress.size();
    std::from_chars(aAddress.data() + colon + 1, end, settings.port);
  }
  settings.maxBodyBytes = static_cast<std::size_t>(aSettings.maxBodyBytes);
  settings.maxConnections = static_cast<std::size_t>(aSettings.maxConnections);
  settings.readTimeout = aSettings.readTimeout;
  return settings;
}

/// Pushes events into the router's ring; blocks while the ring is full.
class EventSink {
 public:
  explicit EventSink(Channel<RouterEvent>& aEvents) : events(aEvents) {}

  template <class Event>
  void Put(Event aEvent) {
    // If the router falls behind, the I/O threads block here and stop reading,
    // so that the backpressure reaches the sockets.
    while (!this->events.Push(RouterEvent(aEvent))) {
      std::this_thread::sleep_for(100us);
    }
  }

 private:
  Channel<RouterEvent>& events;
};

/// Converts callbacks of the I/O threads to events.
class Listeners final : public EngineListener,
                        public HttpCallListener,
                        public PeerListener {
 public:
  explicit Listeners(EventSink& aSink) : sink(aSink) {}

  void OnToken(TokenEvent aEvent) override {
    this->sink.Put(TokenReceivedEvent{std::move(aEvent)});
  }
  void OnAttemptFailed(std::uint64_t aRequest, int aAttempt, int aStage,
                       HopFailure aFailure) override {
    this->sink.Put(AttemptFailedEvent{aRequest, aAttempt, aStage, aFailure});
  }
  void OnProgress(std::uint64_t aRequest, int aAttempt,
                  std::vector<StageProgress> aProgress) override {
    this->sink.Put(ProgressEvent{aRequest, aAttempt, std::move(aProgress)});
  }
  void OnLoad(const std::string& aUpstream, Result<EngineLoad> aLoad) override {
    this->sink.Put(LoadEvent{aUpstream, std::move(aLoad)});
  }
  bool OnCallData(CallId, std::string) override { return true; }
  void OnCallEnd(CallId aCall, HttpCallResult aResult) override {
    this->sink.Put(CallEndEvent{aCall, std::move(aResult)});
  }
  void OnPeerData(std::string aMessage) override {
    Result<PeerMessage> message = ReadPeerMessage(aMessage);
    if (message) {
      this->sink.Put(PeerEvent{std::move(*message)});
    }
  }

 private:
  EventSink& sink;
};

/// Converts callers' requests to events.
class CallerListener final : public HttpRequestListener {
 public:
  explicit CallerListener(EventSink& aSink) : sink(aSink) {}

  void OnRequest(HttpRequest aRequest) override {
    this->sink.Put(CallerRequestEvent{std::move(aRequest)});
  }
  void OnCallerDisconnected(ExchangeId aExchange) override {
    this->sink.Put(CallerDisconnectedEvent{aExchange});
  }
  void OnRequestsEnded() override { this->sink.Put(RequestsEndedEvent{}); }

 private:
  EventSink& sink;
};

/// Converts operators' requests to events.
class AdminListener final : public HttpRequestListener {
 public:
  explicit AdminListener(EventSink& aSink) : sink(aSink) {}

  void OnRequest(HttpRequest aRequest) override {
    this->sink.Put(AdminRequestEvent{std::move(aRequest)});
  }
  void OnCallerDisconnected(ExchangeId) override {}

 private:
  EventSink& sink;
};

/// Returns this daemon's member name: VM and a random incarnation.
std::string MakeMember(const EntrySettings& aSettings, Random& aRandom) {
  char digits[17];
  std::snprintf(
      digits, sizeof digits, "%012llx",
      static_cast<unsigned long long>(aRandom.Below(std::uint64_t{1} << 48)));
  return aSettings.vm + "/" + digits;
}

PlatformSettings PlatformOf(const EntrySettings& aSettings,
                            std::shared_ptr<ByteBudget> aResponseBytes) {
  PlatformSettings settings;
  settings.responseBytes = std::move(aResponseBytes);
  settings.address = aSettings.platform;
  settings.userAgent = "zincstep-entry/" + aSettings.failureDomain;
  return settings;
}

std::string WithPort(const std::string& aAddress, std::uint16_t aPort) {
  return aAddress.substr(0, aAddress.rfind(':') + 1) + std::to_string(aPort);
}

std::uint64_t SeedOf(const EntrySettings& aSettings) {
  return aSettings.seed != 0 ? static_cast<std::uint64_t>(aSettings.seed)
                             : std::random_device{}() * 0x100000001ULL;
}

}  // namespace

/// The parts of a daemon, in order of construction. A part that calls another
/// is declared after it, so that it is destroyed first.
struct EntryDaemon::Parts {
  explicit Parts(EntrySettings aSettings)
      : settings(std::move(aSettings)),
        seed(SeedOf(this->settings)),
        random(this->seed),
        member(MakeMember(this->settings, this->random)),
        events(kMaxEvents, this->wakeEvent),
        sink(this->events),
        listeners(this->sink),
        callerListener(this->sink),
        adminListener(this->sink),
        tracer(this->settings.traceFile, this->clock, this->seed + 2) {}

  Result<void> StartServers() {
    this->callers =
        MakeHttpServer(ServerSettings(this->settings, this->settings.listen),
                       this->callerListener);
    this->admin = MakeHttpServer(
        ServerSettings(this->settings, this->settings.adminListen),
        this->adminListener);
    PeerTransportSettings transportSettings;
    transportSettings.listen = this->settings.peerListen;
    transportSettings.seed = this->seed + 1;
    this->transport = MakePeerTransport(transportSettings, this->listeners);
    // Callers come last: they connect to a daemon that can serve them soon.
    Result<void> started = this->transport->Start();
    if (started) {
      started = this->admin->Start();
    }
    if (started) {
      started = this->callers->Start();
    }
    if (!started) {
      return started;
    }
    EntrySettings& bound = this->settings;
    bound.listen = WithPort(bound.listen, this->callers->Port());
    bound.adminListen = WithPort(bound.adminListen, this->admin->Port());
    bound.peerListen = WithPort(bound.peerListen, this->transport->Port());
    return {};
  }

  void StartThreads() {
    const auto platformBytes = std::make_shared<ByteBudget>(kMaxPlatformBytes);
    this->store =
        MakeHttpKeyValueStore(PlatformOf(this->settings, platformBytes));
    this->vms = MakeHttpVmList(PlatformOf(this->settings, platformBytes));
    this->http =
        MakeHttpClient(std::make_shared<ByteBudget>(kMaxResponseBytes));
    this->engines = MakeForwardingEngineClient(*this->http, this->listeners);
    this->context.reset(new EntryContext{
        this->settings, this->clock, Random(this->seed + 3), *this->callers,
        *this->admin, *this->http, this->listeners, *this->engines,
        *this->transport, this->tracer, Metrics{}, this->member,
        PeerTable(this->settings.vm, this->settings.failureDomain, {}),
        LeavingUpstreams{}, DomainLimit({}), nullptr, MemberLists{}});
    this->plans = std::make_unique<PlanWorker>([this](PlanResult aResult) {
      this->sink.Put(PlanEvent{std::move(aResult)});
    });
    this->watcher = std::make_unique<ConfigWatcher>(
        *this->store, this->settings, this->clock, this->seed + 4,
        [this](SnapshotPtr aSnapshot) {
          this->sink.Put(SnapshotEvent{std::move(aSnapshot)});
        });
    this->controller = std::make_unique<DomainController>(
        this->settings, this->member, *this->store, *this->vms, this->clock,
        [this](DomainControllerReport aReport) {
          this->sink.Put(DomainControllerEvent{std::move(aReport)});
        });
    this->router = std::make_unique<Router>(
        *this->context, this->events, this->wakeEvent,
        RouterWorkers{*this->plans, *this->watcher, *this->controller});
    this->routerThread = std::thread([this] { this->router->Run(); });
  }

  EntrySettings settings;
  const SystemClock clock;
  std::uint64_t seed;
  Random random;
  std::string member;
  WakeEvent wakeEvent;
  Channel<RouterEvent> events;
  EventSink sink;
  Listeners listeners;
  CallerListener callerListener;
  AdminListener adminListener;
  Tracer tracer;
  std::unique_ptr<HttpServer> callers;
  std::unique_ptr<HttpServer> admin;
  std::unique_ptr<PeerTransport> transport;
  std::unique_ptr<KeyValueStore> store;
  std::unique_ptr<VmList> vms;
  std::unique_ptr<EngineClient> engines;
  std::unique_ptr<EntryContext> context;
  std::unique_ptr<PlanWorker> plans;
  std::unique_ptr<ConfigWatcher> watcher;
  std::unique_ptr<DomainController> controller;
  std::unique_ptr<Router> router;
  /// Declared after the engine client, so that it is destroyed first: its
  /// thread calls the engine client's listener until it has ended.
  std::unique_ptr<HttpClient> http;
  std::thread routerThread;
};

EntryDaemon::EntryDaemon(EntrySettings aSettings)
    : parts(std::make_unique<Parts>(std::move(aSettings))) {}

EntryDaemon::~EntryDaemon() { this->Abandon(); }

const EntrySettings& EntryDaemon::Settings() const {
  return this->parts->settings;
}

Result<void> EntryDaemon::Start() {
  Result<void> started = this->parts->StartServers();
  if (!started) {
    return started;
  }
  this->parts->StartThreads();
  LogInfo("started", {{"vm", this->Settings().vm},
                      {"member", this->parts->member},
                      {"listen", this->Settings().listen},
                      {"failure_domain", this->Settings().failureDomain}});
  return {};
}

void EntryDaemon::RequestStop() { this->parts->sink.Put(StopEvent{}); }

void EntryDaemon::Wait() {
  if (!this->parts->routerThread.joinable()) {
    return;
  }
  this->parts->routerThread.join();
  std::this_thread::sleep_for(kLastReadTime);
  WaitForWrites(*this->parts->callers);
  this->parts->callers->Stop();
  this->parts->admin->Stop();
  this->parts->transport->Stop();
}

void EntryDaemon::Abandon() {
  if (this->parts->routerThread.joinable()) {
    this->parts->callers->Stop();
    this->parts->transport->Stop();
    this->parts->sink.Put(AbandonEvent{});
    this->parts->routerThread.join();
    this->parts->admin->Stop();
  }
}

namespace {

/// Delays between attempts to start while an address is in use, as by a
/// predecessor or by another process's connection, whose port may be kept for
/// 60 s after its end.
constexpr Micros kMinListenDelay = 50ms;
constexpr Micros kMaxListenDelay = 1s;
constexpr int kFailedStatus = 1;

sigset_t HandledSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal : kHandledSignals) {
    sigaddset(&signals, signal);
  }
  return signals;
}

/// Returns whether a signal asks the process to end; logs one that does not.
bool IsStop(int aSignal) {
  if (aSignal == SIGHUP) {
    LogInfo("settings_unchanged",
            {{"reason", "settings come with the start of the process"}});
  }
  return aSignal == SIGTERM || aSignal == SIGINT;
}

/// Waits for `aDelay`; returns early with true on a signal to stop.
bool WaitForStop(Micros aDelay) {
  const sigset_t signals = HandledSignals();
  const auto until = std::chrono::steady_clock::now() + aDelay;
  for (;;) {
    const auto left = std::max<std::chrono::nanoseconds>(
        until - std::chrono::steady_clock::now(), 0ns);
    const timespec timeout{left / 1s, (left % 1s).count()};
    const int signal = sigtimedwait(&signals, nullptr, &timeout);
    if (signal > 0 && IsStop(signal)) {
      return true;
    }
    if (left == 0ns) {
      return false;
    }
  }
}

/// Receives signals for a daemon on a thread of its own until it is destroyed.
class SignalThread {
 public:
  explicit SignalThread(EntryDaemon& aDaemon)
      : thread([this, &aDaemon] { this->Run(aDaemon); }) {}
  ~SignalThread() {
    this->isEnding = true;
    // Ends its wait.
    pthread_kill(this->thread.native_handle(), SIGINT);
    this->thread.join();
  }
  SignalThread(const SignalThread&) = delete;
  SignalThread& operator=(const SignalThread&) = delete;

 private:
  void Run(EntryDaemon& aDaemon) {
    const sigset_t signals = HandledSignals();
    int signal = 0;
    while (sigwait(&signals, &signal) == 0 && !this->isEnding) {
      if (IsStop(signal)) {
        aDaemon.RequestStop();
      }
    }
  }

  std::atomic<bool> isEnding{false};
  std::thread thread;
};

/// Starts a daemon; waits while one of its addresses is in use. Returns null if
/// a signal stops the process before.
Result<std::unique_ptr<EntryDaemon>> StartOrStop(
    const EntrySettings& aSettings) {
  Micros delay = kMinListenDelay;
  for (;;) {
    // Each attempt has a daemon of its own: without its router, events of open
    // listeners would fill the ring.
    auto daemon = std::make_unique<EntryDaemon>(aSettings);
    const Result<void> started = daemon->Start();
    if (started) {
      return daemon;
    }
    if (started.error().kind != ErrorKind::NotReady) {
      return tl::unexpected(started.error());
    }
    daemon.reset();
    LogWarning("listen_failed", {{"reason", started.error().message},
                                 {"retry_ms", delay / 1ms}});
    if (WaitForStop(delay)) {
      LogInfo("stopping");
      return nullptr;
    }
    delay = std::min(2 * delay, kMaxListenDelay);
  }
}

}  // namespace

int RunEntryDaemon(EntrySettings aSettings) {
  LogInfo("starting", {{"vm", aSettings.vm}});
  try {
    const auto started = StartOrStop(aSettings);
    if (!started) {
      LogError("start_failed", {{"reason", started.error().message}});
      return kFailedStatus;
    }
    if (EntryDaemon* daemon = started->get()) {
      const SignalThread signals(*daemon);
      daemon->Wait();
    }
    return 0;
  } catch (const std::exception& error) {
    // The system has no more descriptors, threads or memory.
    LogError("start_failed", {{"reason", error.what()}});
    return kFailedStatus;
  }
}

}  // namespace zincstep
