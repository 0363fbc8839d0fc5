#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace zincstep {

/// Passes on whole events of a stream, each once and in order.
///
/// Reads `text/event-stream` only as far as it must: where an event ends
/// and what its id is. Bytes of whole events are not changed.
class EventSplitter {
 public:
  /// Events with ids up to `aLastId` have been passed on already.
  explicit EventSplitter(std::optional<std::uint64_t> aLastId)
      : lastId(aLastId) {}

  /// Appends what came; gives the whole events that are to be passed on.
  std::string Append(std::string_view aBytes);
  /// A new run takes over: what is left of an unfinished event goes.
  void BeginRun();
  /// Whether bytes of an unfinished event are left.
  bool HasPartial() const { return !this->partial.empty(); }
  /// Id of the last event that was passed on.
  std::optional<std::uint64_t> LastId() const { return this->lastId; }
  /// Whether an event was missing: the stream must not go on.
  bool HasGap() const { return this->hasGap; }
  /// Whether a whole event was passed on.
  bool HasPassed() const { return this->hasPassed; }

 private:
  void Pass(std::string_view aEvent, std::string& aOut);

  std::string partial;
  std::optional<std::uint64_t> lastId;
  bool hasGap = false;
  bool hasPassed = false;
  bool isResumed = false;
};

}  // namespace zincstep
