#include "Zincstep/Relay/EventSplitter.h"

#include <charconv>

namespace zincstep {

namespace {

/// Returns the id of an event if it has a numeric one.
std::optional<std::uint64_t> IdOf(std::string_view aEvent) {
  constexpr std::string_view kField = "id:";
  std::size_t at = aEvent.starts_with(kField) ? 0 : aEvent.find("\nid:");
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  at = aEvent.find(':', at) + 1;
  while (at < aEvent.size() && aEvent[at] == ' ') {
    ++at;
  }
  std::uint64_t id = 0;
  const auto read =
      std::from_chars(aEvent.data() + at, aEvent.data() + aEvent.size(), id);
  return read.ec == std::errc{} ? std::optional(id) : std::nullopt;
}

/// Returns the end of the first event in `aBytes`, searching from `aFrom`, or
/// npos.
std::size_t EndOfEvent(std::string_view aBytes, std::size_t aFrom) {
  for (std::size_t at = aBytes.find('\n', aFrom); at != std::string_view::npos;
       at = aBytes.find('\n', at + 1)) {
    const std::string_view rest = aBytes.substr(at + 1);
    if (rest.starts_with('\n')) {
      return at + 2;
    }
    if (rest.starts_with("\r\n")) {
      return at + 3;
    }
  }
  return std::string_view::npos;
}

}  // namespace

void EventSplitter::BeginRun() {
  this->partial.clear();
  this->isResumed = this->lastId.has_value();
}

void EventSplitter::Forward(std::string_view aEvent, std::string& aOut) {
  const auto id = IdOf(aEvent);
  if (id && this->isResumed) {
    if (*id <= *this->lastId) {
      return;  // The caller already has this event.
    }
    if (*id > *this->lastId + 1) {
      this->hasGap = true;
      return;
    }
  }
  if (id) {
    this->lastId = id;
  }
  this->hasForwarded = true;
  aOut += aEvent;
}

std::string EventSplitter::Append(std::string_view aBytes) {
  std::string out;
  std::size_t searched = this->partial.size();
  // The blank line that ends an event may span the old and the new bytes.
  searched -= std::min<std::size_t>(searched, 2);
  this->partial += aBytes;
  std::string_view rest = this->partial;
  while (!this->hasGap) {
    const std::size_t end = EndOfEvent(rest, searched);
    if (end == std::string_view::npos) {
      break;
    }
    this->Forward(rest.substr(0, end), out);
    rest.remove_prefix(end);
    searched = 0;
  }
  this->partial.erase(0, this->partial.size() - rest.size());
  return out;
}

}  // namespace zincstep
