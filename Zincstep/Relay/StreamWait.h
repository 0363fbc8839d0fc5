#pragma once

#include <optional>

#include "Zincstep/Core/NameTable.h"
#include "Zincstep/Core/Time.h"

namespace zincstep {

/// What a stream that has begun and is silent waits for.
enum class WaitCause {
  /// The members of its chain, none of which is known to be lost.
  Run,
  /// The members of a new or rerouted chain, which read its tokens.
  Reading,
  /// The outcome of an order that reroutes it.
  Repair,
  /// The backoff after a rejected reroute.
  RepairBackoff,
  /// A chain; the last search found none.
  Chain,
  /// A retry; the retry window permits none.
  Retry,
  /// Nothing but its run: the route or the number of sends permits no other.
  Attempt,
  /// The end or the confirmation of a block of its request.
  Block,
  /// The run that another daemon was asked for.
  Daemon,
  /// A daemon to forward it to.
  NoDaemon,
  /// The caller, which does not read what has been sent.
  Caller,
};

inline constexpr NameTable<WaitCause, 11> kWaitCauseNames{{
    {WaitCause::Run, "run"},
    {WaitCause::Reading, "reading"},
    {WaitCause::Repair, "repair"},
    {WaitCause::RepairBackoff, "repair_backoff"},
    {WaitCause::Chain, "chain"},
    {WaitCause::Retry, "retry"},
    {WaitCause::Attempt, "attempt"},
    {WaitCause::Block, "block"},
    {WaitCause::Daemon, "daemon"},
    {WaitCause::NoDaemon, "no_daemon"},
    {WaitCause::Caller, "caller"},
}};

/// Outcome of the last search for a chain.
enum class SearchOutcome { None, NotFound, Found };

inline constexpr NameTable<SearchOutcome, 3> kSearchOutcomeNames{{
    {SearchOutcome::None, "none"},
    {SearchOutcome::NotFound, "not_found"},
    {SearchOutcome::Found, "found"},
}};

/// Searches for a chain since the last event of a stream.
struct ChainSearches {
  SearchOutcome last = SearchOutcome::None;
  /// Time of the first search that found a chain.
  std::optional<Instant> foundAt;

  void Record(bool aIsFound, Instant aNow) {
    this->last = aIsFound ? SearchOutcome::Found : SearchOutcome::NotFound;
    if (aIsFound && !this->foundAt) {
      this->foundAt = aNow;
    }
  }
};

/// State of a silent stream, for the log line and the metrics of its end.
struct StreamWait {
  WaitCause cause = WaitCause::Run;
  ChainSearches searches;
};

}  // namespace zincstep
