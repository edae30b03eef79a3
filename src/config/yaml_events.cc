#include "config/yaml_events.h"

#include <sstream>

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/yaml.h>

#include "lycheeplank/config.h"

namespace lycheeplank::config {

namespace {

// Ignores all events.
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

// Throws at the first alias.
class AliasRejector : public IgnoringHandler
{
public:
  void OnAlias(const YAML::Mark& aMark, YAML::anchor_t /*aAnchor*/) override
  {
    throw YAML::ParserException(aMark,
                                "aliases like *name are not allowed; write "
                                "the value out");
  }
};

// Thrown to stop the parser once the owner is found.
struct OwnerFound
{};

// Finds the scalar that follows the first scalar "owner" directly in a
// section's mapping.
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
    if (isOwnerNext_) {
      owner_ = aValue;
      throw OwnerFound();
    }
    isOwnerNext_ = aValue == "owner";
  }
  void OnSequenceStart(const YAML::Mark& /*aMark*/,
                       const std::string& /*aTag*/,
                       YAML::anchor_t /*aAnchor*/,
                       YAML::EmitterStyle::value /*aStyle*/) override
  {
    EnterCollection();
  }
  void OnSequenceEnd() override { --depth_; }
  void OnMapStart(const YAML::Mark& /*aMark*/,
                  const std::string& /*aTag*/,
                  YAML::anchor_t /*aAnchor*/,
                  YAML::EmitterStyle::value /*aStyle*/) override
  {
    EnterCollection();
  }
  void OnMapEnd() override { --depth_; }

  std::string owner_;

private:
  // The section's mapping is nested in the mapping of the whole text.
  static constexpr int kSectionDepth = 2;

  void EnterCollection()
  {
    ++depth_;
    isOwnerNext_ = false;
  }

  int depth_ = 0;
  bool isOwnerNext_ = false;
};

void
ParseEvents(const std::string& aText, YAML::EventHandler& aHandler)
{
  std::istringstream stream(aText);
  YAML::Parser parser(stream);
  parser.HandleNextDocument(aHandler);
}

} // namespace

void
RejectAliases(const std::string& aText)
{
  AliasRejector rejector;
  ParseEvents(aText, rejector);
}

std::string
OwnerOf(const Section& aSection)
{
  OwnerFinder finder;
  try {
    ParseEvents(aSection.text_, finder);
  } catch (const OwnerFound&) {
    return finder.owner_;
  } catch (const YAML::Exception&) {
    // Check reports the error.
    return "";
  }
  return "";
}

} // namespace lycheeplank::config
