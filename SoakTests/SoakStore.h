#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "Zincstep/Core/Random.h"
#include "Zincstep/Net/CallerConnection.h"

namespace zincstep::soak {

/// A stand-in of the operators' store: keys, ranges, watches, conditional
/// changes and leases, by its published protocol.
class SoakStore final : public CallerHandler {
 public:
  SoakStore(asio::io_context& aLoop, const Clock& aClock);

  std::uint16_t Port() const { return this->listener.Port(); }
  /// While it is down each call is answered with 503: nothing was done.
  void SetDown(bool aIsDown) { this->isDown = aIsDown; }
  /// Changes are made, and their answers are lost.
  void SetLosesAnswers(bool aLoses) { this->losesAnswers = aLoses; }
  /// Writes as the operator or an upstream does.
  void Put(const std::string& aKey, const std::string& aValue);
  void Remove(const std::string& aKey);
  /// It comes back as it was about so long ago: revisions go back, leases and
  /// what the daemons wrote since are gone. What was written by `Put` and
  /// `Remove` is written again, each at a time drawn from up to `aRewrite`.
  void Restore(Micros aAge, Micros aRewrite, Random& aRandom);
  /// Ends leases and waits that are over, takes copies, and writes again.
  void Tick();

  void OnRequest(const std::shared_ptr<CallerConnection>& aConnection,
                 CallerMessage aMessage) override;
  void OnCallerDisconnected(CallerConnection& aConnection) override;

 private:
  using Json = nlohmann::json;

  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t lease = 0;
  };
  struct Change {
    std::string key;
    std::uint64_t revision = 0;
    /// None: it was removed.
    std::optional<std::string> value;
  };
  struct Wait {
    std::shared_ptr<CallerConnection> connection;
    std::string prefix;
    std::uint64_t after = 0;
    Instant until;
  };
  struct Lease {
    Micros ttl{0};
    Instant until;
  };

  /// All that is kept, as it was at some time.
  struct Copy {
    Instant at;
    std::map<std::string, Item> items;
    std::map<std::uint64_t, Lease> leases;
    std::uint64_t revision = 0;
  };
  struct Rewrite {
    Instant at;
    std::string key;
  };

  void TakeCopy(Instant aNow);
  void WriteAgain(Instant aNow);
  Json Show(const std::string& aKey, const Item& aItem) const;
  void Range(CallerConnection& aConnection, const std::string& aQuery);
  void Watch(const std::shared_ptr<CallerConnection>& aConnection,
             const std::string& aQuery);
  void Commit(CallerConnection& aConnection, const Json& aBody);
  void Grant(CallerConnection& aConnection, const Json& aBody);
  void Keep(CallerConnection& aConnection, std::uint64_t aLease);
  void EndLease(std::uint64_t aLease);
  void Set(const std::string& aKey, const std::string& aValue,
           std::uint64_t aLease);
  /// Answers a wait that has news, or whose time is over.
  bool Notify(const Wait& aWait, bool aIsOver);
  void NotifyAll();
  void Reply(CallerConnection& aConnection, int aStatus, const Json& aBody);

  const Clock& clock;
  CallerListener listener;
  std::map<std::string, Item> items;
  std::vector<Change> history;
  std::vector<Wait> waits;
  std::map<std::uint64_t, Lease> leases;
  std::uint64_t revision = 1;
  std::uint64_t era = 1;
  /// Revision from which on changes are known; a watch from one before, or from
  /// one that is not there, is told that the history is gone.
  std::uint64_t historyFrom = 0;
  std::vector<Copy> copies;
  Instant nextCopy{};
  /// What the operator and the upstreams wrote last; none: it was removed.
  std::map<std::string, std::optional<std::string>> written;
  std::vector<Rewrite> rewrites;
  std::uint64_t lastLease = 0;
  bool isDown = false;
  bool losesAnswers = false;
};

}  // namespace zincstep::soak
