#include "config/yaml_events.h"

#include <sstream>

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/yaml.h>

#include "lycheeplank/config.h"

namespace lycheeplank::config {

namespace {

// Passes over all events.
class IgnoringHandler : public YAML::EventHandler
{
public:
  void OnDocumentStart(const YAML::Mark& /*aMark*/) override {}
  void OnDocumentEnd() override {}
  void OnNull(const YAML::Mark& /*aMark*/, YAML::anchor_t /*aAnchor*/) override
  {
  }
  void OnAlias(const YAML::Mark& /*aMark*/, YAML::anchor_t /*aAnchor*/) override
  {
  }
  void OnScalar(const YAML::Mark& /*aMark*/,
                const std::string& /*aTag*/,
                YAML::anchor_t /*aAnchor*/,
                const std::string& /*aValue*/) override
  {
  }
  void OnSequenceStart(const YAML::Mark& /*aMark*/,
                       const std::string& /*aTag*/,
                       YAML::anchor_t /*aAnchor*/,
                       YAML::EmitterStyle::value /*aStyle*/) override
  {
  }
  void OnSequenceEnd() override {}
  void OnMapStart(const YAML::Mark& /*aMark*/,
                  const std::string& /*aTag*/,
                  YAML::anchor_t /*aAnchor*/,
                  YAML::EmitterStyle::value /*aStyle*/) override
  {
  }
  void OnMapEnd() override {}
};

class AliasRefuser : public IgnoringHandler
{
public:
  void OnAlias(const YAML::Mark& aMark, YAML::anchor_t /*aAnchor*/) override
  {
    throw YAML::ParserException(aMark,
                                "aliases like *name are not allowed; write "
                                "the value out");
  }
};

// Thrown to stop the parser once the owner is known.
struct OwnerFound
{};

// Finds the value after the first scalar "owner" in a section's own mapping.
class OwnerFinder : public IgnoringHandler
{
public:
  void OnScalar(const YAML::Mark& /*aMark*/,
                const std::string& /*aTag*/,
                YAML::anchor_t /*aAnchor*/,
                const std::string& aValue) override
  {
    if (depth_ != kSectionDepth) {
      return;
    }
    if (isNext_) {
      owner_ = aValue;
      throw OwnerFound();
    }
    isNext_ = aValue == "owner";
  }
  void OnSequenceStart(const YAML::Mark& /*aMark*/,
                       const std::string& /*aTag*/,
                       YAML::anchor_t /*aAnchor*/,
                       YAML::EmitterStyle::value /*aStyle*/) override
  {
    Enter();
  }
  void OnSequenceEnd() override { --depth_; }
  void OnMapStart(const YAML::Mark& /*aMark*/,
                  const std::string& /*aTag*/,
                  YAML::anchor_t /*aAnchor*/,
                  YAML::EmitterStyle::value /*aStyle*/) override
  {
    Enter();
  }
  void OnMapEnd() override { --depth_; }

  std::string owner_;

private:
  // The document's mapping holds the section's.
  static constexpr int kSectionDepth = 2;

  void Enter()
  {
    ++depth_;
    isNext_ = false;
  }

  int depth_ = 0;
  bool isNext_ = false;
};

void
Run(const std::string& aText, YAML::EventHandler& aHandler)
{
  std::istringstream stream(aText);
  YAML::Parser parser(stream);
  parser.HandleNextDocument(aHandler);
}

} // namespace

void
RefuseAliases(const std::string& aText)
{
  AliasRefuser refuser;
  Run(aText, refuser);
}

std::string
OwnerOf(const Section& aSection)
{
  OwnerFinder finder;
  try {
    Run(aSection.text_, finder);
  } catch (const OwnerFound&) {
    return finder.owner_;
  } catch (const YAML::Exception&) {
    // Check tells what is wrong with the text.
    return "";
  }
  return "";
}

} // namespace lycheeplank::config
