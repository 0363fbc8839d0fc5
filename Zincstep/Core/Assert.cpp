#include "Zincstep/Core/Assert.h"

#include <cstdio>
#include <exception>

namespace zincstep {

void AssertFailed(const char* aExpression, const char* aFile, int aLine) {
  std::fprintf(stderr, "%s:%d: invariant violated: %s\n", aFile, aLine,
               aExpression);
  std::terminate();
}

}  // namespace zincstep
