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

// The operators' configuration: what it says, how it is read and checked.
namespace lycheeplank::config {

// How much each cost counts when a target is chosen.
struct Objective
{
  // Cost of one second of time to first token.
  double ttftWeight_ = 1.0;
  // Cost of one thousand prompt tokens computed again.
  double recomputeWeight_ = 0.0;
  // Cost of one megabyte moved over a link.
  double linkWeight_ = 0.0;

  friend bool operator==(const Objective& aLeft,
                         const Objective& aRight) = default;
};

// Ways to choose a target; all but the first are baselines to compare with.
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

struct Workspace
{
  // SHA-256 digests of the caller keys, in hexadecimal digits.
  std::vector<std::string> keyDigests_;
  // Part of a contended resource, against the shares of other workspaces.
  double share_ = 1.0;
  std::uint32_t maxRunning_ = 64;
  std::uint32_t maxWaiting_ = 256;
  double requestsPerSecond_ = 1000.0;

  friend bool operator==(const Workspace& aLeft,
                         const Workspace& aRight) = default;
};

// One version of a model's weights and its part of the new requests.
struct WeightVersion
{
  std::string name_;
  double share_ = 1.0;

  friend bool operator==(const WeightVersion& aLeft,
                         const WeightVersion& aRight) = default;
};

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

// One call of a plain service.
struct ServiceCall
{
  // A repeatable call is idempotent; the others need an idempotency key.
  bool repeatable_ = true;
  absl::Duration timeout_ = absl::Seconds(10);

  friend bool operator==(const ServiceCall& aLeft,
                         const ServiceCall& aRight) = default;
};

struct Service
{
  absl::btree_map<std::string, ServiceCall> calls_;

  friend bool operator==(const Service& aLeft, const Service& aRight) = default;
};

// Allows workspaces to use models and services; what no rule allows is
// forbidden. "*" stands for all.
struct Rule
{
  std::vector<std::string> workspaces_;
  std::vector<std::string> models_;
  std::vector<std::string> services_;
  // Empty: everywhere.
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

struct Target
{
  TargetKind kind_ = TargetKind::Engine;
  std::string url_;
  std::string dataCentre_;
  // The model of an engine or the name of a plain service.
  std::string serves_;
  std::uint32_t maxRuns_ = 16;
  double prefillTokensPerSecond_ = 20000.0;
  std::uint32_t cacheBlocks_ = 64;
  // Refuses orders whose fencing number is older than one it has seen.
  bool honoursFencing_ = true;

  friend bool operator==(const Target& aLeft, const Target& aRight) = default;
};

struct Store
{
  std::string url_;
  std::string dataCentre_;
  std::uint64_t memoryBytes_ = 0;
  std::uint64_t diskBytes_ = 0;
  // Rate of the link in front of the store.
  double linkBytesPerSecond_ = 100e6;
  // Rate at which the disk tier can be read.
  double diskBytesPerSecond_ = 50e6;

  friend bool operator==(const Store& aLeft, const Store& aRight) = default;
};

struct Limits
{
  std::uint64_t maxBodyBytes_ = 4ULL << 20U;
  absl::Duration defaultDeadline_ = absl::Seconds(60);
  absl::Duration maxDeadline_ = absl::Minutes(30);
  // Retries allowed as a part of the requests that succeeded.
  double retryShare_ = 0.1;
  std::uint32_t maxAttempts_ = 3;
  // How long a non-idempotent call is remembered; has to outlast the time in
  // which callers repeat.
  absl::Duration claimRetention_ = absl::Hours(24);
  absl::Duration callerRetryWindow_ = absl::Hours(12);
  std::uint32_t claimShards_ = 8;
  // Claims that a shard's register holds before they move to a segment.
  std::uint64_t claimRegisterBytes_ = 16U << 10U;
  // Targets that load weights at the same time.
  std::uint32_t maxLoading_ = 2;
  // Part of a model's targets that has to keep serving during a rollout.
  double minServingShare_ = 0.5;

  friend bool operator==(const Limits& aLeft, const Limits& aRight) = default;
};

// A whole accepted document.
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
  // Name of the workspace by the digest of each of its keys.
  absl::flat_hash_map<std::string, std::string> workspaceByKeyDigest_;
  // Names of the rules that apply to each workspace; "*" holds the rules for
  // all workspaces.
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

// One section of the document as its owner wrote it.
struct Section
{
  std::string name_;
  std::string owner_;
  // The YAML from the section's key to its end, with the comments above it.
  std::string text_;
  // Line of the document on which the text starts; 1 when it stands alone.
  std::uint32_t line_ = 1;
};

// One reason why a document can't be accepted.
struct Problem
{
  std::string section_;
  // Line within the document, or within the section where it stands alone.
  std::uint32_t line_ = 1;
  // Path of the field, e.g. "entries.nursing.max_running".
  std::string field_;
  // What is wrong and which values are allowed.
  std::string message_;
};

// A document taken apart.
struct Document
{
  std::vector<Section> sections_;
  std::vector<Problem> problems_;
};

// A document that was read; the configuration counts only without problems.
struct CheckResult
{
  Config config_;
  std::vector<Problem> problems_;
};

// Longest document that is read, in bytes.
inline constexpr std::size_t kMaxDocumentBytes = 32UL << 20U;

// Takes a document apart at its top-level keys, comments included.
Document
Split(absl::string_view aText);

// Puts sections together to one document, in the order of kSections.
std::string
Join(const std::vector<Section>& aSections);

// Returns the owner that the text of a section names, or an empty string.
std::string
OwnerOf(const Section& aSection);

// Reads sections and checks them, each by itself and against the others.
CheckResult
Check(const std::vector<Section>& aSections);

// Does the same as Check, but reads only what differs from sections that were
// checked before without problems, and takes the rest from their configuration.
CheckResult
CheckChanges(const std::vector<Section>& aSections,
             const std::vector<Section>& aBefore,
             const Config& aConfigBefore);

// Returns "section line 3, field: message" for logs and terminals.
std::string
Describe(const Problem& aProblem);

// Fills the look-up tables of a configuration from its other members.
void
BuildIndexes(Config& aConfig);

// Tells whether a rule lets a workspace use a model (kind Engine) or plain
// service in a data centre. An empty data centre asks for any of them.
bool
IsAllowed(const Config& aConfig,
          absl::string_view aWorkspace,
          TargetKind aKind,
          absl::string_view aServes,
          absl::string_view aDataCentre);

} // namespace lycheeplank::config

#endif
