#ifndef LYCHEEPLANK_CONFIG_H
#define LYCHEEPLANK_CONFIG_H

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/strings/string_view.h>
#include <absl/time/time.h>

#include "lycheeplank/core.h"

// The configuration document that operators edit: its content, and how it is
// parsed and validated.
namespace lycheeplank::config {

// Weights of the costs that are compared when a target is chosen.
struct Objective
{
  // Cost of one second of time to first token.
  double ttftWeight_ = 1.0;
  // Cost of recomputing one thousand prompt tokens.
  double recomputeWeight_ = 0.0;
  // Cost of moving one megabyte over a link.
  double linkWeight_ = 0.0;

  friend bool operator==(const Objective& aLeft,
                         const Objective& aRight) = default;
};

// Policies that choose a target. All but Estimate are baselines for
// comparison.
enum class Policy
{
  Estimate,
  RoundRobin,
  LeastLoaded,
  Sticky,
  AlwaysImport,
  NeverImport,
};

inline constexpr std::array<core::Named<Policy>, 6> kPolicies{ {
  { Policy::Estimate, "estimate" },
  { Policy::RoundRobin, "round-robin" },
  { Policy::LeastLoaded, "least-loaded" },
  { Policy::Sticky, "sticky" },
  { Policy::AlwaysImport, "always-import" },
  { Policy::NeverImport, "never-import" },
} };

// A group of callers with its keys, its share of resources and its limits.
struct Workspace
{
  // SHA-256 digests of the caller keys, in lower-case hexadecimal.
  std::vector<std::string> keyDigests_;
  // Weight of this workspace when workspaces compete for a resource.
  double share_ = 1.0;
  std::uint32_t maxRunning_ = 64;
  std::uint32_t maxWaiting_ = 256;
  double requestsPerSecond_ = 1000.0;

  friend bool operator==(const Workspace& aLeft,
                         const Workspace& aRight) = default;
};

// One version of a model's weights and its relative share of new requests.
struct WeightVersion
{
  std::string name_;
  double share_ = 1.0;

  friend bool operator==(const WeightVersion& aLeft,
                         const WeightVersion& aRight) = default;
};

// A model that engines serve.
struct Model
{
  std::vector<WeightVersion> versions_;
  std::vector<std::string> adapters_;
  std::uint32_t blockTokens_ = 2000;
  std::uint64_t kvBytesPerToken_ = 1000;
  std::uint32_t maxTokens_ = 4096;
  Objective objective_;
  Policy policy_ = Policy::Estimate;

  friend bool operator==(const Model& aLeft, const Model& aRight) = default;
};

// One kind of call that a plain service offers.
struct ServiceCall
{
  // Whether the call is idempotent. Other calls need an idempotency key.
  bool repeatable_ = true;
  absl::Duration timeout_ = absl::Seconds(10);

  friend bool operator==(const ServiceCall& aLeft,
                         const ServiceCall& aRight) = default;
};

// A plain service, with its calls by name.
struct Service
{
  absl::btree_map<std::string, ServiceCall> calls_;

  friend bool operator==(const Service& aLeft, const Service& aRight) = default;
};

// Allows workspaces to use models and services. Anything that no rule allows
// is forbidden. The name "*" matches every name.
struct Rule
{
  std::vector<std::string> workspaces_;
  std::vector<std::string> models_;
  std::vector<std::string> services_;
  // An empty list allows all data centres.
  std::vector<std::string> dataCentres_;

  friend bool operator==(const Rule& aLeft, const Rule& aRight) = default;
};

enum class TargetKind
{
  Engine,
  Service,
};

inline constexpr std::array<core::Named<TargetKind>, 2> kTargetKinds{ {
  { TargetKind::Engine, "engine" },
  { TargetKind::Service, "service" },
} };

// A server that runs requests: a model engine or a plain service.
struct Target
{
  TargetKind kind_ = TargetKind::Engine;
  std::string url_;
  std::string dataCentre_;
  // The model that an engine serves, or the name of a plain service.
  std::string serves_;
  std::uint32_t maxRuns_ = 16;
  double prefillTokensPerSecond_ = 20000.0;
  std::uint32_t cacheBlocks_ = 64;
  // Whether the target refuses an order whose fencing number is lower than one
  // it has already received.
  bool honoursFencing_ = true;

  friend bool operator==(const Target& aLeft, const Target& aRight) = default;
};

// A store for cached KV blocks, with a memory tier and a disk tier.
struct Store
{
  std::string url_;
  std::string dataCentre_;
  std::uint64_t memoryBytes_ = 0;
  std::uint64_t diskBytes_ = 0;
  // Bandwidth of the network link to the store.
  double linkBytesPerSecond_ = 100e6;
  // Read bandwidth of the disk tier.
  double diskBytesPerSecond_ = 50e6;

  friend bool operator==(const Store& aLeft, const Store& aRight) = default;
};

// Limits that apply to the whole system.
struct Limits
{
  std::uint64_t maxBodyBytes_ = 4ULL << 20U;
  absl::Duration defaultDeadline_ = absl::Seconds(60);
  absl::Duration maxDeadline_ = absl::Minutes(30);
  // Retry budget, as a fraction of the successful requests.
  double retryShare_ = 0.1;
  std::uint32_t maxAttempts_ = 3;
  // How long the record of a non-idempotent call is kept. Must be longer than
  // callerRetryWindow_, the time in which callers may repeat a call.
  absl::Duration claimRetention_ = absl::Hours(24);
  absl::Duration callerRetryWindow_ = absl::Hours(12);
  std::uint32_t claimShards_ = 8;
  // Size at which the claims in a shard's register are moved to a segment.
  std::uint64_t claimRegisterBytes_ = 16U << 10U;
  // Maximum number of targets that load weights at the same time.
  std::uint32_t maxLoading_ = 2;
  // Minimum fraction of a model's targets that keep serving during a rollout.
  double minServingShare_ = 0.5;

  friend bool operator==(const Limits& aLeft, const Limits& aRight) = default;
};

// The parsed content of a whole document.
struct Config
{
  std::uint64_t revision_ = 0;
  absl::btree_map<std::string, Workspace> workspaces_;
  absl::btree_map<std::string, Model> models_;
  absl::btree_map<std::string, Service> services_;
  absl::btree_map<std::string, Rule> rules_;
  absl::btree_map<std::string, Target> targets_;
  absl::btree_map<std::string, Store> stores_;
  Limits limits_;
  // Maps the digest of each caller key to the name of its workspace.
  absl::flat_hash_map<std::string, std::string> workspaceByKeyDigest_;
  // Maps each workspace to the names of its rules. The key "*" holds the rules
  // for all workspaces.
  absl::flat_hash_map<std::string, std::vector<std::string>> rulesByWorkspace_;

  friend bool operator==(const Config& aLeft, const Config& aRight) = default;
};

using ConfigPtr = std::shared_ptr<const Config>;

// Sections of the document, in the order in which they are written.
enum class SectionKind
{
  Workspaces,
  Models,
  Services,
  Rules,
  Targets,
  Stores,
  Limits,
};

inline constexpr std::array<core::Named<SectionKind>, 7> kSections{ {
  { SectionKind::Workspaces, "workspaces" },
  { SectionKind::Models, "models" },
  { SectionKind::Services, "services" },
  { SectionKind::Rules, "rules" },
  { SectionKind::Targets, "targets" },
  { SectionKind::Stores, "stores" },
  { SectionKind::Limits, "limits" },
} };

// The unparsed text of one section of the document.
struct Section
{
  std::string name_;
  std::string owner_;
  // The YAML from the section's key to its end, preceded by the comments above
  // the key.
  std::string text_;
  // Line of the document on which the text starts, or 1 if the section is not
  // part of a document.
  std::uint32_t line_ = 1;
};

// An error in a document, which therefore can't be accepted.
struct Problem
{
  std::string section_;
  // Line in the document, or in the section if it is not part of a document.
  std::uint32_t line_ = 1;
  // Path of the field, e.g. "entries.nursing.max_running".
  std::string field_;
  // Describes the error and the allowed values.
  std::string message_;
};

// A document split into its sections, and the problems found by splitting.
struct Document
{
  std::vector<Section> sections_;
  std::vector<Problem> problems_;
};

// The result of a check. The configuration is valid only if there are no
// problems.
struct CheckResult
{
  Config config_;
  std::vector<Problem> problems_;
};

// Maximum size of a document.
inline constexpr std::size_t kMaxDocumentBytes = 32UL << 20U;

// Splits a document at its top-level keys and keeps its comments.
Document
Split(absl::string_view aText);

// Joins sections to one document, in the order of kSections.
std::string
Join(const std::vector<Section>& aSections);

// Returns the value of a section's "owner" field, or an empty string.
std::string
OwnerOf(const Section& aSection);

// Parses sections and validates each section and the references between them.
CheckResult
Check(const std::vector<Section>& aSections);

// Returns the same result as Check(aSections), but parses only the entries that
// differ from aBefore and copies the others from aConfigBefore. Check must have
// found no problems in aBefore and returned aConfigBefore.
CheckResult
CheckChanges(const std::vector<Section>& aSections,
             const std::vector<Section>& aBefore,
             const Config& aConfigBefore);

// Formats a problem as "section line 3, field: message" for logs and terminals.
std::string
Describe(const Problem& aProblem);

// Fills workspaceByKeyDigest_ and rulesByWorkspace_ from the other members.
void
BuildIndexes(Config& aConfig);

// Returns whether a rule allows a workspace to use a model (kind Engine) or a
// plain service (kind Service) in a data centre. If aDataCentre is empty, a
// rule for any data centre is enough.
bool
IsAllowed(const Config& aConfig,
          absl::string_view aWorkspace,
          TargetKind aKind,
          absl::string_view aServes,
          absl::string_view aDataCentre);

} // namespace lycheeplank::config

#endif
