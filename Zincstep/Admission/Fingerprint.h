#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Zincstep/Core/NameTable.h"

namespace zincstep {

/// Identifies a request, or a part of prompts, independently of attempts.
///
/// Each attempt has an id of its own. All attempts with the same method, host,
/// target, organisation and body have the same fingerprint, at every daemon.
/// The two highest bits are the `FingerprintKind`.
enum class Fingerprint : std::uint64_t {};

/// What a fingerprint identifies.
enum class FingerprintKind : std::uint8_t {
  Request,
  /// A part of the prompts of one organisation.
  OrganisationPart,
  /// A part of the prompts of all organisations.
  Part,
};

inline constexpr NameTable<FingerprintKind, 3> kFingerprintKindNames{
    {{FingerprintKind::Request, "request"},
     {FingerprintKind::OrganisationPart, "organisation_part"},
     {FingerprintKind::Part, "part"}}};

FingerprintKind KindOf(Fingerprint aFingerprint);

/// Parts of a request that make up its fingerprint. The last event id of a
/// resumed stream is not one of them: a caller that resumes a stream repeats
/// the same request.
struct RequestIdentity {
  std::string_view method;
  std::string_view host;
  std::string_view target;
  /// Part of the identity so that requests of different organisations never
  /// match.
  std::string_view organisation;
  std::string_view body;
};

/// Identifies a part of prompts to the models of one service.
struct PartIdentity {
  std::string_view service;
  /// Empty: the part as used by all organisations.
  std::string_view organisation;
  std::string_view id;
};

/// Returns bits of a SHA-256, so that a caller cannot construct a request that
/// matches another organisation's.
Fingerprint FingerprintOf(const RequestIdentity& aIdentity);
Fingerprint FingerprintOf(const PartIdentity& aIdentity);

/// All that a request carries which may crash the upstream that runs it.
struct CrashCandidates {
  Fingerprint request{};
  /// The parts of its prompt, as used by its organisation and by all.
  std::vector<Fingerprint> parts;

  bool Contains(Fingerprint aOne) const;
  /// Calls `aVisit` with each fingerprint.
  template <class Visitor>
  void ForEach(const Visitor& aVisit) const {
    aVisit(this->request);
    for (const Fingerprint part : this->parts) {
      aVisit(part);
    }
  }
};

/// Returns the candidates of a request to `aService`; `aParts` are the ids of
/// the parts of its prompt.
CrashCandidates CandidatesOf(const RequestIdentity& aIdentity,
                             std::string_view aService,
                             const std::vector<std::string>& aParts);

/// Returns the fingerprint as 16 hexadecimal digits, for logs and the store.
std::string TextOf(Fingerprint aFingerprint);

/// Parses the format of `TextOf`; `nullopt` if the text is invalid.
std::optional<Fingerprint> ParseFingerprint(std::string_view aText);

}  // namespace zincstep
