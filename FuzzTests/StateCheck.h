#pragma once

#include <rapidcheck.h>

#include <cstdlib>
#include <string>

namespace zincstep {

/// Checks a property with a fixed seed, so that runs are reproducible; returns
/// whether it holds.
///
/// ZINCSTEP_FUZZ_RUNS and ZINCSTEP_FUZZ_SEED override the number of runs and
/// the seed; RapidCheck prints the shrunk commands of a failure.
template <class Property>
bool CheckState(const std::string& aName, Property aProperty) {
  const char* runs = std::getenv("ZINCSTEP_FUZZ_RUNS");
  const char* seed = std::getenv("ZINCSTEP_FUZZ_SEED");
  rc::detail::TestParams params;
  params.seed = seed == nullptr ? 20261202 : std::strtoull(seed, nullptr, 10);
  params.maxSuccess = runs == nullptr ? 400 : std::atoi(runs);
  params.maxSize = 100;
  rc::detail::TestMetadata metadata;
  metadata.id = aName;
  metadata.description = aName;
  const auto result =
      rc::detail::checkTestable(std::move(aProperty), metadata, params);
  rc::detail::printResultMessage(result, std::cerr);
  std::cerr << "\n";
  return result.template is<rc::detail::SuccessResult>();
}

}  // namespace zincstep
