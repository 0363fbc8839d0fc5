#include "Zincstep/Entry/EntryContext.h"

namespace zincstep {

bool EntryContext::AcceptsInStop(ExchangeId aExchange,
                                 std::optional<Instant> aDeadline) {
  if (!this->drain.IsStopping()) {
    return true;
  }
  const DrainDecision decision =
      this->drain.Decide(aDeadline, this->clock.Now());
  nlohmann::json fields{{"id", aExchange},
                        {"accepted", decision.isAccepted},
                        {"since_stop_ms", decision.sinceStop / 1ms},
                        {"left_ms", decision.left / 1ms},
                        {"bound_ms", nullptr}};
  if (decision.bound) {
    fields["bound_ms"] = *decision.bound / 1ms;
  }
  LogInfo("stop_decision", fields);
  if (!decision.isAccepted) {
    this->Refuse(aExchange, {ErrorKind::Stopping,
                             aDeadline ? "the request might not end before "
                                         "this daemon stops"
                                       : "this daemon is stopping",
                             {}});
  }
  return decision.isAccepted;
}

}  // namespace zincstep
