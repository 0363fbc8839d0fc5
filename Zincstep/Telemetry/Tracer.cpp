#include "Zincstep/Telemetry/Tracer.h"

#include <algorithm>

namespace zincstep {

namespace {

constexpr std::size_t kTraceDigits = 32;
constexpr std::size_t kSpanDigits = 16;
constexpr std::size_t kHeaderSize = 55;

std::string HexDigits(Random& aRandom, std::size_t aDigits) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (std::size_t i = 0; i < aDigits; ++i) {
    text.push_back(kDigits[aRandom.Below(kDigits.size())]);
  }
  return text;
}

bool IsHex(std::string_view aText) {
  return std::all_of(aText.begin(), aText.end(), [](char aChar) {
    return (aChar >= '0' && aChar <= '9') || (aChar >= 'a' && aChar <= 'f');
  });
}

}  // namespace

std::string TraceContext::Header() const {
  return "00-" + this->traceId + "-" + this->spanId + "-01";
}

TraceContext ReadTraceContext(std::string_view aHeader, Random& aRandom) {
  TraceContext context;
  const bool isWellFormed = aHeader.size() >= kHeaderSize &&
                            aHeader[2] == '-' && aHeader[35] == '-' &&
                            aHeader[52] == '-' &&
                            IsHex(aHeader.substr(3, kTraceDigits)) &&
                            IsHex(aHeader.substr(36, kSpanDigits));
  if (isWellFormed) {
    context.traceId = aHeader.substr(3, kTraceDigits);
    context.spanId = aHeader.substr(36, kSpanDigits);
    return context;
  }
  context.traceId = HexDigits(aRandom, kTraceDigits);
  return context;
}

Tracer::Tracer(const std::string& aPath, const Clock& aClock,
               std::uint64_t aSeed)
    : clock(aClock), random(aSeed) {
  if (aPath == "-") {
    this->file = stderr;
  } else if (!aPath.empty()) {
    this->file = std::fopen(aPath.c_str(), "a");
  }
  this->wallOffset = WallMicros() - aClock.Now().time_since_epoch().count();
}

Tracer::~Tracer() {
  if (this->file != nullptr && this->file != stderr) {
    std::fclose(this->file);
  }
}

std::int64_t Tracer::WallNanos(Instant aInstant) const {
  return (aInstant.time_since_epoch().count() + this->wallOffset) * 1000;
}

Span Tracer::Begin(const std::string& aName, const TraceContext& aParent) {
  Span span;
  span.name = aName;
  span.parentId = aParent.spanId;
  span.context.traceId = aParent.traceId;
  span.context.spanId = HexDigits(this->random, kSpanDigits);
  span.start = this->clock.Now();
  return span;
}

void Tracer::End(Span& aSpan) {
  if (this->file == nullptr) {
    return;
  }
  const nlohmann::json line{
      {"traceId", aSpan.context.traceId},
      {"spanId", aSpan.context.spanId},
      {"parentSpanId", aSpan.parentId},
      {"name", aSpan.name},
      {"startTimeUnixNano", std::to_string(this->WallNanos(aSpan.start))},
      {"endTimeUnixNano", std::to_string(this->WallNanos(this->clock.Now()))},
      {"attributes", aSpan.attributes}};
  std::fprintf(
      this->file, "%s\n",
      line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)
          .c_str());
  std::fflush(this->file);
}

void Tracer::Write(const std::string& aName, const TraceContext& aParent,
                   Micros aDuration, nlohmann::json aAttributes) {
  if (this->file == nullptr) {
    return;
  }
  Span span = this->Begin(aName, aParent);
  span.start -= aDuration;
  span.attributes = std::move(aAttributes);
  this->End(span);
}

}  // namespace zincstep
