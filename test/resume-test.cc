#include "lycheeplank/resume.h"

#include <catch2/catch.hpp>

namespace resume = lycheeplank::resume;

TEST_CASE("a token brings back its position")
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
