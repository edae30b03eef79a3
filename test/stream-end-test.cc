#include <catch2/catch.hpp>

#include "gateway/stream-end.h"

namespace gateway = lycheeplank::gateway;
using gateway::ConnectEnd;
using gateway::EndEvidence;
using gateway::EndVerdict;

// Guards against sound streams that are cut because another request of their
// target was.
TEST_CASE("an open connection to its target outweighs lost calls")
{
  CHECK(JudgeEnd(EndEvidence{ true, true, true, ConnectEnd::Refused }) ==
        EndVerdict::Whole);
  CHECK(JudgeEnd(EndEvidence{ true, false, true, {} }) == EndVerdict::Whole);
}

TEST_CASE("a stream isn't whole if its target lost all its connections")
{
  const bool isListed = GENERATE(true, false);
  CHECK(JudgeEnd(EndEvidence{ false, true, isListed, {} }) ==
        EndVerdict::Broken);
  CHECK(JudgeEnd(EndEvidence{ false, true, isListed, ConnectEnd::Connected }) ==
        EndVerdict::Broken);
}

TEST_CASE("a new connection decides where none is open")
{
  CHECK(JudgeEnd(EndEvidence{ false, false, true, {} }) ==
        EndVerdict::NeedsConnection);
  CHECK(JudgeEnd(EndEvidence{ false, false, true, ConnectEnd::Connected }) ==
        EndVerdict::Whole);
  CHECK(JudgeEnd(EndEvidence{ false, false, true, ConnectEnd::Refused }) ==
        EndVerdict::Broken);
  CHECK(JudgeEnd(EndEvidence{ false, false, true, ConnectEnd::Failed }) ==
        EndVerdict::Whole);
}

// A target that leaves may refuse connections before its last answers end.
TEST_CASE("a target that isn't listed can end a stream")
{
  CHECK(JudgeEnd(EndEvidence{ false, false, false, {} }) == EndVerdict::Whole);
}
