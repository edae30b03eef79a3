#include "process/event-thread.h"

#include <atomic>
#include <memory>
#include <vector>

#include <absl/synchronization/notification.h>
#include <catch2/catch.hpp>

namespace process = lycheeplank::process;

TEST_CASE("events are handled in order, with ticks in between")
{
  std::vector<int> handled;
  std::atomic<int> ticks = 0;
  absl::Notification done;
  process::EventThread<int> thread(
    "test",
    [&](const int& aEvent) {
      handled.push_back(aEvent);
      if (aEvent == 2) {
        done.Notify();
      }
    },
    [&] {
      ++ticks;
      return absl::Milliseconds(1);
    });
  thread.Post(1);
  thread.Start();
  while (ticks == 0) {
    std::this_thread::yield();
  }
  thread.Post(2);
  done.WaitForNotification();
  thread.Stop();
  CHECK(handled == std::vector<int>{ 1, 2 });
}

TEST_CASE("PostSome adds only as many events as fit below the limit")
{
  process::EventThread<int> thread(
    "test", [](const int&) {}, [] { return absl::Seconds(1); });
  CHECK(thread.PostSome({ 1, 2 }, 3) == 2);
  CHECK(thread.PostSome({ 3, 4 }, 3) == 1);
  CHECK(thread.PostSome({ 5 }, 3) == 0);
}

TEST_CASE("a thread stops if it was never started, is idle or is stopped twice")
{
  const auto make = [] {
    return std::make_unique<process::EventThread<int>>(
      "test", [](const int&) {}, [] { return absl::Hours(1); });
  };
  make();
  const auto thread = make();
  thread->Start();
  thread->Stop();
  thread->Stop();
}
