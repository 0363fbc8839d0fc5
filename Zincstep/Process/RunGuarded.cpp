#include "Zincstep/Process/RunGuarded.h"

#include <exception>
#include <stdexcept>

#include "Zincstep/Telemetry/Telemetry.h"

namespace zincstep {

bool RunGuarded(const char* aName, const std::function<void()>& aRun) {
  try {
    aRun();
    return true;
  } catch (const std::logic_error&) {
    throw;
  } catch (const std::exception& error) {
    try {
      LogError("handler_failed", {{"loop", aName}, {"reason", error.what()}});
    } catch (const std::exception&) {
      // Without memory there is no line either.
    }
    return false;
  }
}

}  // namespace zincstep
