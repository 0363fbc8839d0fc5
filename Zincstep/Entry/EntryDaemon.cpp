#include "Zincstep/Entry/EntryDaemon.h"

#include <csignal>
#include <cstdio>
#include <random>
#include <thread>

#include "Zincstep/Entry/Router.h"

namespace zincstep {

namespace {

constexpr std::size_t kMaxEvents = 1 << 15;
/// Delay before the servers stop, so that the last responses are sent.
constexpr auto kFinalWriteDelay = std::chrono::milliseconds(100);

HttpServerSettings ServerSettings(const EntrySettings& aSettings,
                                  const std::string& aAddress) {
  HttpServerSettings settings;
  const std::size_t colon = aAddress.rfind(':');
  settings.address = aAddress.substr(0, colon);
  settings.port =
      static_cast<std::uint16_t>(std::stoi(aAddress.substr(colon + 1)));
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
  void OnCallData(CallId, std::string) override {}
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

PlatformSettings PlatformOf(const EntrySettings& aSettings) {
  PlatformSettings settings;
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
    for (const Result<void>& started :
         {this->transport->Start(), this->admin->Start(),
          this->callers->Start()}) {
      if (!started) {
        return started;
      }
    }
    EntrySettings& bound = this->settings;
    bound.listen = WithPort(bound.listen, this->callers->Port());
    bound.adminListen = WithPort(bound.adminListen, this->admin->Port());
    bound.peerListen = WithPort(bound.peerListen, this->transport->Port());
    return {};
  }

  void StartThreads() {
    this->store = MakeHttpKeyValueStore(PlatformOf(this->settings));
    this->vms = MakeHttpVmList(PlatformOf(this->settings));
    this->http = MakeHttpClient();
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
  std::this_thread::sleep_for(kFinalWriteDelay);
  this->parts->callers->Stop();
  this->parts->admin->Stop();
  this->parts->transport->Stop();
}

void EntryDaemon::Abandon() {
  if (this->parts->routerThread.joinable()) {
    this->parts->callers->Stop();
    this->parts->transport->Stop();
    this->parts->sink.Put(AbandonEvent{});
    this->Wait();
  }
}

namespace {

/// Blocks the stop signals in this thread and in the threads that it starts.
sigset_t BlockSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGUSR1);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

}  // namespace

int RunEntryDaemon(EntrySettings aSettings) {
  const sigset_t signals = BlockSignals();
  EntryDaemon daemon(std::move(aSettings));
  const Result<void> started = daemon.Start();
  if (!started) {
    std::fprintf(stderr, "zincstep-entry: %s\n",
                 started.error().message.c_str());
    return 1;
  }
  std::thread waiter([&signals, &daemon] {
    int signal = 0;
    while (sigwait(&signals, &signal) == 0 && signal != SIGUSR1) {
      daemon.RequestStop();
    }
  });
  daemon.Wait();
  pthread_kill(waiter.native_handle(), SIGUSR1);
  waiter.join();
  return 0;
}

}  // namespace zincstep
