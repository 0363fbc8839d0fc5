#pragma once

#include <memory>

#include "Zincstep/Entry/EntrySettings.h"

namespace zincstep {

/// An entry daemon with all its threads.
class EntryDaemon {
 public:
  explicit EntryDaemon(EntrySettings aSettings);
  ~EntryDaemon();

  EntryDaemon(const EntryDaemon&) = delete;
  EntryDaemon& operator=(const EntryDaemon&) = delete;

  /// Opens the listeners and starts the threads. Fails as `ListenOn`; the
  /// object cannot be started again then.
  Result<void> Start();
  /// Starts a graceful stop: the daemon drains, refuses new requests, finishes
  /// the open ones and hands over its claims.
  void RequestStop();
  /// Stops at once, without draining, as in a crash; joins the threads.
  void Abandon();
  /// Blocks until the daemon has stopped.
  void Wait();

  /// The settings, with the ports that the operating system assigned.
  const EntrySettings& Settings() const;

 private:
  struct Parts;
  std::unique_ptr<Parts> parts;
};

/// Runs an entry daemon until SIGTERM or SIGINT, in a process prepared by
/// `PrepareProcess`; returns the exit status.
int RunEntryDaemon(EntrySettings aSettings);

}  // namespace zincstep
