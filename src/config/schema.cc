#include "config/schema.h"

namespace lycheeplank::config {

namespace {

// Allowed ranges of the fields. Durations are in seconds, sizes in bytes.
constexpr Range kShares{ 0, 1e6 };
constexpr Range kPositiveShares{ 0.001, 1e6 };
constexpr Range kFractions{ 0, 1 };
constexpr Range kWeights{ 0, 1e6 };
constexpr Range kCounts{ 1, 1e6 };
constexpr Range kCountsOrZero{ 0, 1e6 };
constexpr Range kRequestRates{ 0.001, 1e6 };
constexpr Range kTokenRates{ 1, 1e9 };
constexpr Range kByteRates{ 1e3, 1e12 };
constexpr Range kCapacities{ 0, 1e15 };
constexpr Range kCallTimeouts{ 0.01, 3600 };
constexpr Range kDeadlines{ 0.1, 86400 };
constexpr Range kBlockTokens{ 16, 65536 };
constexpr Range kTokenBytes{ 1, 64e6 };
constexpr Range kMaxTokens{ 1, 1e6 };
constexpr Range kBodyBytes{ 1024, 256e6 };
constexpr Range kAttempts{ 1, 10 };
constexpr Range kRetentions{ 60, 30 * 86400 };
constexpr Range kRetryWindows{ 1, 30 * 86400 };
constexpr Range kShards{ 1, 4096 };
constexpr Range kRegisterBytes{ 1024, 262144 };
constexpr Range kLoadingTargets{ 1, 1000 };

template<typename Struct, typename Number>
Field<Struct>
NumberField(absl::string_view aName, Number Struct::*aMember, Range aRange)
{
  return { aName,
           [=](Reader& aReader, const LocatedNode& aLocated, Struct& aOut) {
             ReadNumber(aReader, aLocated, aRange, aOut.*aMember);
           } };
}

template<typename Struct, typename Number>
Field<Struct>
SizeField(absl::string_view aName, Number Struct::*aMember, Range aRange)
{
  return { aName,
           [=](Reader& aReader, const LocatedNode& aLocated, Struct& aOut) {
             ReadSize(aReader, aLocated, aRange, aOut.*aMember);
           } };
}

template<typename Struct>
Field<Struct>
DurationField(absl::string_view aName,
              absl::Duration Struct::*aMember,
              Range aSeconds)
{
  return { aName,
           [=](Reader& aReader, const LocatedNode& aLocated, Struct& aOut) {
             ReadDuration(aReader, aLocated, aSeconds, aOut.*aMember);
           } };
}

template<typename Struct>
Field<Struct>
FlagField(absl::string_view aName, bool Struct::*aMember)
{
  return { aName,
           [=](Reader& aReader, const LocatedNode& aLocated, Struct& aOut) {
             ReadFlag(aReader, aLocated, aOut.*aMember);
           } };
}

template<typename Struct, typename Enum, std::size_t N>
Field<Struct>
ChoiceField(absl::string_view aName,
            Enum Struct::*aMember,
            const std::array<core::Named<Enum>, N>& aTable)
{
  return { aName,
           [=, &aTable](
             Reader& aReader, const LocatedNode& aLocated, Struct& aOut) {
             const auto assign = [&](absl::string_view aText) {
               const auto value = core::ValueOf(aTable, aText);
               aOut.*aMember = value.value_or(aOut.*aMember);
               return value.has_value();
             };
             ReadChoice(aReader, aLocated, core::AllNames(aTable), assign);
           } };
}

template<typename Struct>
Field<Struct>
NameField(absl::string_view aName, std::string Struct::*aMember)
{
  return { aName,
           [=](Reader& aReader, const LocatedNode& aLocated, Struct& aOut) {
             ReadName(aReader, aLocated, aOut.*aMember);
           },
           true };
}

template<typename Struct>
Field<Struct>
NamesField(absl::string_view aName,
           std::vector<std::string> Struct::*aMember,
           bool aStarAllowed)
{
  return { aName,
           [=](Reader& aReader, const LocatedNode& aLocated, Struct& aOut) {
             ReadNames(aReader, aLocated, aStarAllowed, aOut.*aMember);
           } };
}

template<typename Struct>
Field<Struct>
UrlField()
{
  return { "url",
           [](Reader& aReader, const LocatedNode& aLocated, Struct& aOut) {
             ReadUrl(aReader, aLocated, aOut.url_);
           },
           true };
}

const Fields<Workspace>&
WorkspaceFields()
{
  static const auto* const fields = new Fields<Workspace>{
    { "key_digests",
      [](Reader& aReader, const LocatedNode& aLocated, Workspace& aOut) {
        ReadDigests(aReader, aLocated, aOut.keyDigests_);
      } },
    NumberField("share", &Workspace::share_, kPositiveShares),
    NumberField("max_running", &Workspace::maxRunning_, kCounts),
    NumberField("max_waiting", &Workspace::maxWaiting_, kCountsOrZero),
    NumberField(
      "requests_per_second", &Workspace::requestsPerSecond_, kRequestRates),
  };
  return *fields;
}

const Fields<Objective>&
ObjectiveFields()
{
  static const auto* const fields = new Fields<Objective>{
    NumberField("ttft_weight", &Objective::ttftWeight_, kWeights),
    NumberField("recompute_weight", &Objective::recomputeWeight_, kWeights),
    NumberField("link_weight", &Objective::linkWeight_, kWeights),
  };
  return *fields;
}

void
ReadVersions(Reader& aReader, const LocatedNode& aLocated, Model& aOut)
{
  ForEachPair(
    aReader, aLocated, [&](const std::string& aKey, const LocatedNode& aValue) {
      WeightVersion version{ aKey };
      ReadNumber(aReader, aValue, kShares, version.share_);
      aOut.versions_.push_back(std::move(version));
    });
}

const Fields<Model>&
ModelFields()
{
  static const auto* const fields = new Fields<Model>{
    { "versions", ReadVersions, true },
    NamesField("adapters", &Model::adapters_, false),
    NumberField("block_tokens", &Model::blockTokens_, kBlockTokens),
    SizeField("kv_bytes_per_token", &Model::kvBytesPerToken_, kTokenBytes),
    NumberField("max_tokens", &Model::maxTokens_, kMaxTokens),
    { "objective",
      [](Reader& aReader, const LocatedNode& aLocated, Model& aOut) {
        ReadFields(aReader, aLocated, ObjectiveFields(), aOut.objective_);
      } },
    ChoiceField("policy", &Model::policy_, kPolicies),
  };
  return *fields;
}

const Fields<ServiceCall>&
CallFields()
{
  static const auto* const fields = new Fields<ServiceCall>{
    FlagField("repeatable", &ServiceCall::repeatable_),
    DurationField("timeout", &ServiceCall::timeout_, kCallTimeouts),
  };
  return *fields;
}

const Fields<Service>&
ServiceFields()
{
  static const auto* const fields = new Fields<Service>{
    { "calls",
      [](Reader& aReader, const LocatedNode& aLocated, Service& aOut) {
        ReadEntries(aReader, aLocated, CallFields(), aOut.calls_);
      },
      true },
  };
  return *fields;
}

const Fields<Rule>&
RuleFields()
{
  static const auto* const fields = [] {
    auto* table = new Fields<Rule>{
      NamesField("workspaces", &Rule::workspaces_, true),
      NamesField("models", &Rule::models_, true),
      NamesField("services", &Rule::services_, true),
      NamesField("data_centres", &Rule::dataCentres_, false),
    };
    table->front().required_ = true;
    return table;
  }();
  return *fields;
}

const Fields<Target>&
TargetFields()
{
  static const auto* const fields = [] {
    auto* table = new Fields<Target>{
      ChoiceField("kind", &Target::kind_, kTargetKinds),
      UrlField<Target>(),
      NameField("data_centre", &Target::dataCentre_),
      NameField("serves", &Target::serves_),
      NumberField("max_runs", &Target::maxRuns_, kCounts),
      NumberField("prefill_tokens_per_second",
                  &Target::prefillTokensPerSecond_,
                  kTokenRates),
      NumberField("cache_blocks", &Target::cacheBlocks_, kCountsOrZero),
      FlagField("honours_fencing", &Target::honoursFencing_),
    };
    table->front().required_ = true;
    return table;
  }();
  return *fields;
}

const Fields<Store>&
StoreFields()
{
  static const auto* const fields = new Fields<Store>{
    UrlField<Store>(),
    NameField("data_centre", &Store::dataCentre_),
    SizeField("memory_bytes", &Store::memoryBytes_, kCapacities),
    SizeField("disk_bytes", &Store::diskBytes_, kCapacities),
    SizeField("link_bytes_per_second", &Store::linkBytesPerSecond_, kByteRates),
    SizeField("disk_bytes_per_second", &Store::diskBytesPerSecond_, kByteRates),
  };
  return *fields;
}

const Fields<Limits>&
LimitFields()
{
  static const auto* const fields = new Fields<Limits>{
    SizeField("max_body_bytes", &Limits::maxBodyBytes_, kBodyBytes),
    DurationField("default_deadline", &Limits::defaultDeadline_, kDeadlines),
    DurationField("max_deadline", &Limits::maxDeadline_, kDeadlines),
    NumberField("retry_share", &Limits::retryShare_, kFractions),
    NumberField("max_attempts", &Limits::maxAttempts_, kAttempts),
    DurationField("claim_retention", &Limits::claimRetention_, kRetentions),
    DurationField(
      "caller_retry_window", &Limits::callerRetryWindow_, kRetryWindows),
    NumberField("claim_shards", &Limits::claimShards_, kShards),
    SizeField(
      "claim_register_bytes", &Limits::claimRegisterBytes_, kRegisterBytes),
    NumberField("max_loading", &Limits::maxLoading_, kLoadingTargets),
    NumberField("min_serving_share", &Limits::minServingShare_, kFractions),
  };
  return *fields;
}

} // namespace

void
ReadSection(Reader& aReader,
            SectionKind aKind,
            const LocatedNode& aLocated,
            Config& aConfig)
{
  switch (aKind) {
    case SectionKind::Workspaces:
      ReadEntries(aReader, aLocated, WorkspaceFields(), aConfig.workspaces_);
      break;
    case SectionKind::Models:
      ReadEntries(aReader, aLocated, ModelFields(), aConfig.models_);
      break;
    case SectionKind::Services:
      ReadEntries(aReader, aLocated, ServiceFields(), aConfig.services_);
      break;
    case SectionKind::Rules:
      ReadEntries(aReader, aLocated, RuleFields(), aConfig.rules_);
      break;
    case SectionKind::Targets:
      ReadEntries(aReader, aLocated, TargetFields(), aConfig.targets_);
      break;
    case SectionKind::Stores:
      ReadEntries(aReader, aLocated, StoreFields(), aConfig.stores_);
      break;
    case SectionKind::Limits:
      ReadFields(aReader, aLocated, LimitFields(), aConfig.limits_);
      break;
  }
}

} // namespace lycheeplank::config
