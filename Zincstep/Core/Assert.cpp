#include "Zincstep/Core/Assert.h"

#include <cstdio>
#include <cstdlib>

namespace zincstep {

void AssertFailed(const char* aExpression, const char* aFile, int aLine) {
  std::fprintf(stderr, "%s:%d: invariant violated: %s\n", aFile, aLine,
               aExpression);
  std::abort();
}

}  // namespace zincstep
