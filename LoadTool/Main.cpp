#include <cstdio>

#include "LoadTool/LoadRun.h"
#include "Zincstep/Process/Process.h"
#include "Zincstep/Settings/Settings.h"

int main(int aCount, char** aWords) {
  zincstep::PrepareProgram();
  zincstep::load::LoadSettings settings;
  std::string targets = "127.0.0.1:8080";
  zincstep::SettingsReader reader("zincstep-load", "[flags]");
  reader.Text("targets", targets, "Addresses of daemons, separated by commas");
  reader.Text("key", settings.key, "Bearer key of the organisation");
  reader.Text("model", settings.model, "Model to request");
  reader.Number("rate", settings.rate, 0.01, 100000,
                "Mean arrivals per second");
  reader.Number("seconds", settings.seconds, 0.1, 3600,
                "Time in which requests are sent, in seconds");
  reader.Number("mean-tokens", settings.meanTokens, 0, 100000,
                "Mean tokens of an answer; 0 for the maximum each time");
  reader.Integer("most-tokens", settings.maxTokens, 1, 100000,
                 "Maximum tokens of an answer");
  reader.Integer("prompt-bytes", settings.promptBytes, 1, 1000000,
                 "Length of each prompt, in bytes");
  reader.Integer("most-open", settings.maxOpenRequests, 1, 100000,
                 "Maximum number of open requests");
  reader.Integer("seed", settings.seed, 0, INT64_MAX,
                 "Seed of the random arrivals and lengths");
  reader.Text("direct", settings.direct,
              "Engines to call without a daemon: address/first/last,...");
  zincstep::ReadOrExit(reader, aCount, aWords);
  for (std::size_t start = 0; start <= targets.size();) {
    const std::size_t end = std::min(targets.find(',', start), targets.size());
    settings.targets.push_back(targets.substr(start, end - start));
    start = end + 1;
  }
  std::printf("%s\n", zincstep::load::LoadRun(settings).Run().c_str());
  return 0;
}
