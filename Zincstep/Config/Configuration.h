#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Zincstep/Core/Core.h"

namespace zincstep {

/// Priority of an organisation under overload: `Low` is shed first, `High`
/// last.
enum class Priority { High, Normal, Low };

/// Names of the priorities in the configuration file.
inline constexpr NameTable<Priority, 3> kPriorityNames{{
    {Priority::High, "high"},
    {Priority::Normal, "normal"},
    {Priority::Low, "low"},
}};

/// Half-open range [first, last) of a model's layers.
struct LayerRange {
  int first = 0;
  int last = 0;

  /// Number of layers in the range.
  int Size() const { return this->last - this->first; }

  /// Whether every layer of `aOther` lies in this range.
  bool Covers(const LayerRange& aOther) const {
    return this->first <= aOther.first && aOther.last <= this->last;
  }

  bool operator==(const LayerRange&) const = default;
};

/// A failure domain: a place in a region whose VMs fail together.
struct FailureDomain {
  std::string name;
  std::string region;
};

/// An accelerator kind and its declared speed.
struct AcceleratorKind {
  std::string name;
  /// Time of one decode step of one layer for a full batch.
  Micros layerStep{0};
  /// Maximum number of sequences in one step.
  int batchSlots = 1;
  /// Time to prefill one token through one layer, in nanoseconds.
  std::int64_t prefillLayerNanos = 0;
};

/// A model, split by layer ranges over upstreams.
struct Model {
  std::string name;
  int layers = 0;
  /// Version that new requests run on.
  std::string serving;
  std::vector<std::string> versions;
  std::vector<std::string> adapters;
  int maxTokens = 0;
  int contextTokens = 0;
};

/// A customer with its weight, limits and hashed API keys.
struct Organisation {
  std::string name;
  double weight = 1.0;
  Priority priority = Priority::Normal;
  /// Rate limit in each failure domain, in tokens per second; 0 means no limit.
  double tokensPerSecond = 0;
  /// SHA-256 of each bearer key, in lower-case hexadecimal.
  std::vector<std::string> keys;
  std::vector<std::string> models;
  std::vector<std::string> services;
};

/// A replica that holds one layer range of one model version.
struct Upstream {
  std::string name;
  std::string address;
  std::string failureDomain;
  std::string kind;
  std::string model;
  std::string version;
  LayerRange layers;
  /// Whether it rejects orders with an older fencing token by itself.
  bool checksFence = false;
};

/// Network cost of the link from one failure domain to another.
struct Link {
  std::string from;
  std::string to;
  /// One-way latency.
  Micros oneWay{0};
  double megabitsPerSecond = 0;
};

/// A replica of a plain service, which has no model.
struct ServiceReplica {
  std::string name;
  std::string address;
  std::string failureDomain;
};

/// Whether calls with a method and a path prefix may be retried.
struct CallRule {
  std::string method;
  std::string pathPrefix;
  bool repeatable = false;
};

/// A plain HTTP service, selected by path prefix or by host.
struct PlainService {
  std::string name;
  std::string pathPrefix;
  std::string host;
  std::vector<ServiceReplica> replicas;
  std::vector<CallRule> calls;
};

/// All that operators declare: one file, applied atomically.
struct Configuration {
  std::vector<FailureDomain> failureDomains;
  std::vector<AcceleratorKind> kinds;
  std::vector<Model> models;
  std::vector<Organisation> organisations;
  std::vector<Upstream> upstreams;
  std::vector<Link> links;
  std::vector<PlainService> services;

  /// Returns the model with the given name, or null.
  const Model* FindModel(const std::string& aName) const;
  /// Returns the accelerator kind with the given name, or null.
  const AcceleratorKind* FindKind(const std::string& aName) const;
  /// Returns the organisation with the given name, or null.
  const Organisation* FindOrganisation(const std::string& aName) const;
  /// Returns the region of a failure domain; empty for an unknown domain.
  std::string RegionOf(const std::string& aFailureDomain) const;
};

/// Whether a call to `aService` with this method and path may be retried.
///
/// The matching rule with the longest prefix applies. Without a match, GET,
/// HEAD and OPTIONS, which HTTP defines as safe (RFC 9110, 9.2.1), are
/// repeatable.
bool IsRepeatable(const PlainService& aService, const std::string& aMethod,
                  const std::string& aPath);

}  // namespace zincstep
