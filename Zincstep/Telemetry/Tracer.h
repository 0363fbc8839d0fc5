#pragma once

#include <cstdint>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "Zincstep/Core/Core.h"

namespace zincstep {

/// Position of a span in a trace, as in W3C Trace Context.
struct TraceContext {
  /// 32 hexadecimal digits.
  std::string traceId;
  /// 16 hexadecimal digits: the parent of spans that begin in this context.
  /// Empty in a new trace.
  std::string spanId;

  /// Returns the `traceparent` header of a call in this context.
  std::string Header() const;
};

/// Parses a `traceparent` header; starts a new trace if it is missing or
/// malformed.
TraceContext ReadTraceContext(std::string_view aHeader, Random& aRandom);

/// A span that has begun and not ended.
struct Span {
  TraceContext context;
  std::string parentId;
  std::string name;
  Instant start;
  nlohmann::json attributes = nlohmann::json::object();
};

/// Writes spans as JSON lines with the field names of OTLP.
class Tracer {
 public:
  /// Appends spans to the file `aPath`; `-` means stderr, and an empty path
  /// disables tracing.
  Tracer(const std::string& aPath, const Clock& aClock, std::uint64_t aSeed);
  ~Tracer();

  Tracer(const Tracer&) = delete;
  Tracer& operator=(const Tracer&) = delete;

  /// Begins a span whose parent is `aParent`.
  Span Begin(const std::string& aName, const TraceContext& aParent);
  /// Ends a span now and writes it.
  void End(Span& aSpan);
  /// Writes a span that began `aDuration` ago and ends now.
  void Write(const std::string& aName, const TraceContext& aParent,
             Micros aDuration, nlohmann::json aAttributes);
  /// Returns the generator of trace and span ids.
  Random& GetRandom() { return this->random; }
  /// Whether spans are written.
  bool IsOn() const { return this->file != nullptr; }

 private:
  /// Returns nanoseconds since 1970.
  std::int64_t WallNanos(Instant aInstant) const;

  const Clock& clock;
  Random random;
  std::FILE* file = nullptr;
  /// Wall clock minus `clock`, in microseconds.
  std::int64_t wallOffset = 0;
};

}  // namespace zincstep
