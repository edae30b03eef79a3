#include "lycheeplank/resume.h"

#include <limits>
#include <set>
#include <string>

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

namespace resume = lycheeplank::resume;

TEST_CASE("a verified token returns its position")
{
  const resume::Signer signer("secret", { "ws", "engine-1", "run.7", "rq" });
  const auto position = resume::Verify("secret", "ws", signer.TokenAt(41));
  REQUIRE(position);
  CHECK(position->target_ == "engine-1");
  CHECK(position->runId_ == "run.7");
  CHECK(position->requestId_ == "rq");
  CHECK(position->index_ == 41);
}

TEST_CASE("a token of another workspace or secret is refused")
{
  const resume::Signer signer("secret", { "ws", "engine-1", "run", "rq" });
  CHECK_FALSE(resume::Verify("secret", "other", signer.TokenAt(1)));
  CHECK_FALSE(resume::Verify("wrong", "ws", signer.TokenAt(1)));
}

TEST_CASE("a token altered by any one bit is refused")
{
  const resume::Signer signer("secret", { "ws", "engine-1", "run", "rq" });
  const std::string token = signer.TokenAt(7);
  for (std::size_t i = 0; i < token.size(); ++i) {
    for (int bit = 0; bit < 8; ++bit) {
      std::string altered = token;
      altered[i] = static_cast<char>(altered[i] ^ (1 << bit));
      CHECK_FALSE(resume::Verify("secret", "ws", altered));
    }
  }
}

TEST_CASE("a token is valid only for its own index and stream")
{
  const resume::Signer signer("secret", { "ws", "engine-1", "run", "rq" });
  const resume::Signer other("secret", { "ws", "engine-1", "run", "rr" });
  const std::string token = signer.TokenAt(7);
  const std::string signature = token.substr(token.rfind('.'));
  const std::string prefix =
    token.substr(0, token.size() - signature.size() - 1);
  REQUIRE(resume::Verify("secret", "ws", prefix + "7" + signature));
  for (const std::string index : { "8", "07", "+7", " 7", "7 ", "-7", "" }) {
    CAPTURE(index);
    CHECK_FALSE(
      resume::Verify("secret", "ws", absl::StrCat(prefix, index, signature)));
  }
  const std::string foreign = other.TokenAt(7);
  CHECK_FALSE(resume::Verify(
    "secret", "ws", prefix + "7" + foreign.substr(foreign.rfind('.'))));
}

TEST_CASE("different indices have different signatures")
{
  const resume::Signer signer("secret", { "ws", "engine-1", "run", "rq" });
  std::set<std::string> signatures;
  const std::uint64_t last = std::numeric_limits<std::uint64_t>::max();
  for (const std::uint64_t index : { std::uint64_t{ 0 },
                                     std::uint64_t{ 1 },
                                     std::uint64_t{ 256 },
                                     std::uint64_t{ 1 } << 32U,
                                     last }) {
    const std::string token = signer.TokenAt(index);
    signatures.insert(token.substr(token.rfind('.')));
    const auto position = resume::Verify("secret", "ws", token);
    REQUIRE(position);
    CHECK(position->index_ == index);
  }
  CHECK(signatures.size() == 5);
}
