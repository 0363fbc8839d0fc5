#pragma once

namespace zincstep {

/// Prints the violated invariant to stderr and terminates the process.
[[noreturn]] void AssertFailed(const char* aExpression, const char* aFile,
                               int aLine);

}  // namespace zincstep

/// Checks an invariant in all build types. A daemon that violates one must
/// stop: a wrong response costs callers more than a lost VM.
#define ZINCSTEP_ASSERT(aExpression)                              \
  do {                                                            \
    if (!(aExpression)) {                                         \
      ::zincstep::AssertFailed(#aExpression, __FILE__, __LINE__); \
    }                                                             \
  } while (false)
