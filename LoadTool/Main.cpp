#include <cstdio>

#include "LoadTool/LoadRun.h"
#include "Zincstep/Settings/Settings.h"

int main(int aCount, char** aWords) {
  zincstep::load::LoadSettings settings;
  std::string target = "127.0.0.1:8080";
  zincstep::SettingsReader reader("zincstep-load", "[flags]");
  reader.Text("targets", target, "Addresses of daemons, between commas");
  reader.Text("key", settings.key, "Bearer key of the organisation");
  reader.Text("model", settings.model, "Model that is asked");
  reader.Number("rate", settings.rate, 0.01, 100000, "Arrivals a second");
  reader.Number("seconds", settings.seconds, 0.1, 3600,
                "Seconds in which requests arrive");
  reader.Number("mean-tokens", settings.meanTokens, 0, 100000,
                "Mean tokens of an answer; 0 for the most each time");
  reader.Integer("most-tokens", settings.mostTokens, 1, 100000,
                 "Most tokens of an answer");
  reader.Integer("prompt-bytes", settings.promptBytes, 1, 1000000,
                 "Bytes of a prompt");
  reader.Integer("most-open", settings.mostOpen, 1, 100000,
                 "Requests open at a time");
  reader.Integer("seed", settings.seed, 0, INT64_MAX, "Seed of the draws");
  reader.Text("direct", settings.direct,
              "Engines to call without a daemon: address/first/last,...");
  zincstep::ReadOrExit(reader, aCount, aWords);
  for (std::size_t start = 0; start <= target.size();) {
    const std::size_t end = std::min(target.find(',', start), target.size());
    settings.targets.push_back(target.substr(start, end - start));
    start = end + 1;
  }
  std::printf("%s\n", zincstep::load::LoadRun(settings).Run().c_str());
  return 0;
}
