#pragma once

/// \file
/// Public header of the process library: what a daemon does with its process.

#include <array>
#include <csignal>

#include "Zincstep/Process/RunGuarded.h"
#include "Zincstep/Process/StopSignalTime.h"

namespace zincstep {

/// Signals that the daemons handle: two to stop, and one that settings may have
/// changed.
inline constexpr std::array kHandledSignals{SIGTERM, SIGINT, SIGHUP};

/// Prepares the process before it opens descriptors or starts threads, whatever
/// the parent has left: the first statement of a daemon's `main`.
///
/// Opens `/dev/null` for standard descriptors that are closed, ignores signals
/// that must not end a daemon, logs what ends it by an exception, and holds
/// `kHandledSignals` back in this thread and in all that it starts until
/// `DeliverSignals`.
void PrepareProcess();

/// The same for a program that is no daemon: its stop signals are delivered,
/// and `SIGHUP` has its default action.
void PrepareProgram();

/// Delivers `kHandledSignals` to this thread, including those held back so far,
/// for as long as the object exists. Their handlers must be installed before,
/// and remain until after.
class DeliverSignals {
 public:
  DeliverSignals();
  ~DeliverSignals();
  DeliverSignals(const DeliverSignals&) = delete;
  DeliverSignals& operator=(const DeliverSignals&) = delete;
};

/// Stops the log and ends the process. If the output does not accept the queued
/// lines, ends it without them.
[[noreturn]] void EndProcess(int aStatus);

}  // namespace zincstep
