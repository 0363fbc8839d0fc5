#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace zincstep {

/// Splits a stream into complete events and forwards each once, in order.
///
/// Parses `text/event-stream` only for event boundaries and event ids. The
/// bytes of an event are forwarded unchanged.
class EventSplitter {
 public:
  /// Events with ids up to `aLastId` are treated as already forwarded.
  explicit EventSplitter(std::optional<std::uint64_t> aLastId)
      : lastId(aLastId) {}

  /// Appends received bytes; returns the complete events to forward.
  std::string Append(std::string_view aBytes);
  /// Starts the stream of a new run; discards the bytes of a partial event.
  void BeginRun();
  /// Whether bytes of a partial event are buffered.
  bool HasPartial() const { return !this->partial.empty(); }
  /// Whether the partial event is longer than any event may be.
  bool IsPartialTooLong() const {
    return this->partial.size() > kMaxEventBytes;
  }
  /// Id of the last event that the caller has.
  std::optional<std::uint64_t> LastId() const { return this->lastId; }
  /// The same once an event was forwarded; none before.
  std::optional<std::uint64_t> ForwardedId() const {
    return this->hasForwarded ? this->lastId : std::nullopt;
  }
  /// Whether the new run skipped an event, so that the stream must not go on.
  bool HasGap() const { return this->hasGap; }
  /// Whether the stream may end here: not within an event, behind a gap, or
  /// before its first event. A run that resumes behind the last event has
  /// nothing to send but its end.
  bool IsComplete() const {
    return !this->hasGap && !this->HasPartial() &&
           (this->hasForwarded || this->lastId);
  }

 private:
  static constexpr std::size_t kMaxEventBytes = 1 << 20;

  void Forward(std::string_view aEvent, std::string& aOut);

  std::string partial;
  std::optional<std::uint64_t> lastId;
  bool hasGap = false;
  bool hasForwarded = false;
  bool isResumed = false;
};

}  // namespace zincstep
