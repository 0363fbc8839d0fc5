#include "LoadTool/LoadRun.h"

#include <cmath>
#include <nlohmann/json.hpp>
#include <thread>

namespace zincstep::load {

namespace {

using Json = nlohmann::json;

constexpr Micros kCallTimeout = 120s;
/// Maximum size of a line of an answer, in bytes: that of the engine client. An
/// answer with a longer one counts as broken.
constexpr std::size_t kMaxLineBytes = 1 << 20;
constexpr std::uint64_t kFirstDirectRequestId = std::uint64_t{1} << 40;

/// Parses stages from `address/first/last,address/first/last`.
std::vector<EngineStage> ParseStages(const std::string& aText) {
  std::vector<EngineStage> stages;
  std::size_t start = 0;
  while (start < aText.size()) {
    const std::size_t end = std::min(aText.find(',', start), aText.size());
    const std::string item = aText.substr(start, end - start);
    const std::size_t first = item.find('/');
    const std::size_t last = item.rfind('/');
    EngineStage stage;
    stage.address = item.substr(0, first);
    stage.layers.first = std::atoi(item.c_str() + first + 1);
    stage.layers.last = std::atoi(item.c_str() + last + 1);
    stages.push_back(std::move(stage));
    start = end + 1;
  }
  return stages;
}

}  // namespace

void DurationHistogram::Add(double aSeconds) {
  this->histogram(aSeconds);
  this->count += 1;
}

double DurationHistogram::PercentileMillis(double aFraction) const {
  const double target = aFraction * static_cast<double>(this->count);
  double cumulative = 0;
  for (auto&& bin : boost::histogram::indexed(
           this->histogram, boost::histogram::coverage::all)) {
    cumulative += *bin;
    if (cumulative >= target && target > 0) {
      return 1e3 * bin.bin().upper();
    }
  }
  return 0;
}

LoadRun::LoadRun(LoadSettings aSettings)
    : settings(std::move(aSettings)),
      random(static_cast<std::uint64_t>(this->settings.seed)),
      http(MakeHttpClient()) {}

int LoadRun::SampleTokenCount() {
  const auto maxTokens = static_cast<int>(this->settings.maxTokens);
  if (this->settings.meanTokens <= 0) {
    return maxTokens;
  }
  const double sampled =
      -std::log(1 - this->random.Unit()) * this->settings.meanTokens;
  return std::clamp(static_cast<int>(sampled), 1, maxTokens);
}

HttpCall LoadRun::MakeCall(std::uint64_t aNumber, int aTokens) {
  HttpCall call;
  call.method = "POST";
  call.streamed = true;
  call.timeout = kCallTimeout;
  std::string prompt = "Order " + std::to_string(aNumber) + ": ";
  prompt.resize(
      std::max<std::size_t>(
          prompt.size(), static_cast<std::size_t>(this->settings.promptBytes)),
      'x');
  if (!this->settings.direct.empty()) {
    EngineAttempt attempt;
    attempt.request = kFirstDirectRequestId + aNumber;
    attempt.attempt = 1;
    attempt.model = this->settings.model;
    attempt.version = "v1";
    attempt.prompt = prompt;
    attempt.maxTokens = aTokens;
    attempt.timeLeft = kCallTimeout;
    attempt.stages = ParseStages(this->settings.direct);
    call.url = "http://" + attempt.stages.front().address + "/v1/attempts";
    call.body = WriteAttempt(attempt);
    return call;
  }
  const std::string& target =
      this->settings.targets[aNumber % this->settings.targets.size()];
  call.url = "http://" + target + "/v1/completions";
  call.headers = {{"Authorization", "Bearer " + this->settings.key}};
  call.body = Json{
      {"model", this->settings.model},
      {"prompt", prompt},
      {"max_tokens", aTokens},
      {"stream",
       true}}.dump();
  return call;
}

void LoadRun::SendRequest(std::uint64_t aNumber) {
  const int tokens = this->SampleTokenCount();
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (this->openRequests.size() >=
      static_cast<std::size_t>(this->settings.maxOpenRequests)) {
    this->notSent += 1;
    return;
  }
  const CallId id = this->http->Start(this->MakeCall(aNumber, tokens), *this);
  OpenRequest& request = this->openRequests[id];
  request.sentAt = this->clock.Now();
  request.lastTokenAt = request.sentAt;
  request.expectedTokens = tokens;
  this->sent += 1;
}

void LoadRun::OnLine(OpenRequest& aRequest, std::string_view aLine,
                     Instant aNow) {
  if (aLine.starts_with("data: [DONE]")) {
    aRequest.isComplete = true;
    return;
  }
  const bool isToken =
      aLine.find("\"finish_reason\":null") != std::string_view::npos ||
      aLine.find("\"position\":") != std::string_view::npos;
  if (!isToken) {
    return;
  }
  const double duration = ToSeconds(aNow - aRequest.lastTokenAt);
  (aRequest.tokens == 0 ? this->firstToken : this->tokenGap).Add(duration);
  aRequest.lastTokenAt = aNow;
  aRequest.tokens += 1;
  this->tokens += 1;
  // The stream of an engine has no end marker, unlike that of a daemon.
  aRequest.isComplete =
      aRequest.isComplete || (!this->settings.direct.empty() &&
                              aRequest.tokens == aRequest.expectedTokens);
}

bool LoadRun::OnCallData(CallId aCall, std::string aPart) {
  const Instant now = this->clock.Now();
  const std::lock_guard<std::mutex> lock(this->mutex);
  OpenRequest& request = this->openRequests.at(aCall);
  const std::size_t searched = request.partial.size();
  request.partial += aPart;
  std::size_t start = 0;
  std::size_t end = request.partial.find('\n', searched);
  while (end != std::string::npos) {
    const std::string_view buffered = request.partial;
    this->OnLine(request, buffered.substr(start, end - start), now);
    start = end + 1;
    end = request.partial.find('\n', start);
  }
  request.partial.erase(0, start);
  return request.partial.size() <= kMaxLineBytes;
}

void LoadRun::OnCallEnd(CallId aCall, HttpCallResult aResult) {
  const Instant now = this->clock.Now();
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto found = this->openRequests.find(aCall);
  const OpenRequest& request = found->second;
  this->statuses[aResult.status] += 1;
  const bool isAnswered = aResult.end == CallEnd::Answered;
  if (isAnswered && request.isComplete &&
      request.tokens == request.expectedTokens) {
    this->completed += 1;
    this->total.Add(ToSeconds(now - request.sentAt));
  } else if (!isAnswered || aResult.status == 200) {
    this->incomplete += 1;
  }
  this->openRequests.erase(found);
}

std::size_t LoadRun::OpenCount() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->openRequests.size();
}

std::string LoadRun::Run() {
  const Instant start = this->clock.Now();
  Instant next = start;
  std::uint64_t number = 0;
  const Instant end = start + FromSeconds(this->settings.seconds);
  while (next < end) {
    // Open loop: the next arrival does not wait for any response.
    std::this_thread::sleep_until(next);
    this->SendRequest(number++);
    next +=
        FromSeconds(-std::log(1 - this->random.Unit()) / this->settings.rate);
  }
  const Instant deadline = this->clock.Now() + kCallTimeout;
  while (this->OpenCount() > 0 && this->clock.Now() < deadline) {
    std::this_thread::sleep_for(5ms);
  }
  const double seconds = ToSeconds(this->clock.Now() - start);
  this->http.reset();
  return this->Report(seconds);
}

std::string LoadRun::Report(double aSeconds) {
  Json statuses = Json::object();
  for (const auto& [status, count] : this->statuses) {
    statuses[std::to_string(status)] = count;
  }
  const auto toJson = [](const DurationHistogram& aHistogram) {
    return Json{{"count", aHistogram.Count()},
                {"p50_ms", aHistogram.PercentileMillis(0.5)},
                {"p95_ms", aHistogram.PercentileMillis(0.95)},
                {"p99_ms", aHistogram.PercentileMillis(0.99)},
                {"max_ms", aHistogram.PercentileMillis(1)}};
  };
  return Json{
      {"seconds", aSeconds},
      {"sent", this->sent},
      {"not_sent", this->notSent},
      {"whole_answers", this->completed},
      {"broken_answers", this->incomplete},
      {"statuses", std::move(statuses)},
      {"tokens_per_second", static_cast<double>(this->tokens) / aSeconds},
      {"first_token", toJson(this->firstToken)},
      {"token_gap", toJson(this->tokenGap)},
      {"whole", toJson(this->total)}}
      .dump();
}

}  // namespace zincstep::load
