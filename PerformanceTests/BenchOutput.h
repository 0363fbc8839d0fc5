#pragma once

#include <cstdio>
#include <string>

namespace zincstep::bench {

/// Prints one figure as `name value unit`.
inline void Print(const std::string& aName, double aValue,
                  const std::string& aUnit) {
  std::printf("%-52s %12.4g %s\n", aName.c_str(), aValue, aUnit.c_str());
  std::fflush(stdout);
}

}  // namespace zincstep::bench
