#pragma once

#include <asio.hpp>

#include "Zincstep/Cluster/Cluster.h"
#include "Zincstep/Core/TaskThread.h"

namespace zincstep {

/// Decodes and indexes configurations on a separate thread: one of 10,000
/// routes takes a second on the smallest VM, in which the event loop must read
/// and answer requests.
class ConfigurationThread final : public ConfigurationBuilder {
 public:
  ConfigurationThread(asio::io_context& aLoop, const ClusterDecoder& aDecoder);

  void Start(std::shared_ptr<const std::string> aText,
             DecodedConfiguration aFormer, Done aDone) override;

 private:
  struct Work {
    std::shared_ptr<const std::string> text;
    DecodedConfiguration former;
    Done done;
  };

  void Run(Work aWork);

  asio::io_context& loop;
  const ClusterDecoder& decoder;
  TaskThread<Work> thread;
};

}  // namespace zincstep
