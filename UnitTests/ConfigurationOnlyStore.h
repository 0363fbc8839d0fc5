#pragma once

#include <asio.hpp>

#include "Zincstep/Cluster/AsyncStore.h"
#include "platform/Platform.h"

namespace zincstep {

/// A store that holds only a configuration.
class ConfigurationOnlyStore final : public AsyncStore {
 public:
  explicit ConfigurationOnlyStore(asio::io_context& aLoop) : loop(aLoop) {}

  void Range(const std::string&, Done<StoreRange> aDone) override {
    asio::post(this->loop, [this, done = std::move(aDone)] {
      done(StoreRange{{}, this->item.revision});
    });
  }
  void RangeStale(const std::string& aPrefix, StalePages,
                  Done<StoreRange> aDone) override {
    this->Range(aPrefix, std::move(aDone));
  }
  void Watch(const std::string&, StoreRevision, Micros,
             Done<StoreEvents>) override {}
  void Commit(StoreChange aChange, Done<StoreCommit> aDone) override {
    if (aChange.key != this->item.key) {
      return;
    }
    StoreCommit commit{true, this->item.revision, {}};
    if (aChange.expected != this->item.revision) {
      commit = {false, {}, this->item};
    }
    asio::post(this->loop, [commit, done = std::move(aDone)] { done(commit); });
  }
  void WriteAll(StoreWrites, Done<StoreRevision>) override {}
  void Grant(Micros, Done<std::uint64_t>) override {}
  void Renew(std::uint64_t, Done<bool>) override {}
  void End(std::uint64_t, Done<bool>) override {}

  void Put(const std::string& aText) {
    this->item = {platform::MakeClusterKeys("").configuration,
                  aText,
                  {this->item.revision.number + 1}};
  }

 private:
  asio::io_context& loop;
  StoreItem item;
};

}  // namespace zincstep
