#include "entry/control.h"

#include <pthread.h>

#include <glog/logging.h>

namespace lycheeplank::entry {

namespace {

// Longest time between two ticks.
constexpr absl::Duration kTickInterval = absl::Milliseconds(50);
// The same while callers wait for a claim or an outcome to be written.
constexpr absl::Duration kClaimTickInterval = absl::Milliseconds(5);
// A tick that is later than this means that the process stood still.
constexpr absl::Duration kPauseBound = absl::Milliseconds(500);
// Time in which the other threads then hand over what had come by the pause.
constexpr absl::Duration kCatchUp = absl::Milliseconds(200);

} // namespace

Control::Control(reducer::State aState, Perform aPerform)
  : state_(std::move(aState))
  , perform_(std::move(aPerform))
{
}

Control::~Control()
{
  {
    const absl::MutexLock lock(&mutex_);
    stopping_ = true;
  }
  if (thread_.joinable()) {
    thread_.join();
  }
}

void
Control::Start()
{
  thread_ = std::thread([this] { Run(); });
}

void
Control::Post(reducer::Event aEvent)
{
  const absl::MutexLock lock(&mutex_);
  items_.push_back({ std::move(aEvent) });
}

void
Control::Inspect(const std::function<void(const reducer::State&)>& aFunction)
{
  bool done = false;
  const absl::MutexLock lock(&mutex_);
  items_.push_back({ reducer::Tick{}, &aFunction, &done });
  mutex_.Await(absl::Condition(&done));
}

void
Control::Run()
{
  pthread_setname_np(pthread_self(), "control");
  while (true) {
    const std::vector<Item> items = TakeItems();
    {
      const absl::MutexLock lock(&mutex_);
      if (stopping_) {
        return;
      }
    }
    for (const auto& item : items) {
      Handle(item);
    }
    TickIfDue();
  }
}

void
Control::TickIfDue()
{
  const absl::Time now = absl::Now();
  if (now < nextTick_) {
    return;
  }
  const bool paused =
    nextTick_ != absl::InfinitePast() && now - nextTick_ > kPauseBound;
  if (paused && !catchingUp_) {
    // A deadline that passed meanwhile must not turn an answer that is here,
    // or a call that was not sent, into an unknown outcome.
    LOG(WARNING) << "event=process_stood_still ms="
                 << absl::ToInt64Milliseconds(now - nextTick_);
    catchingUp_ = true;
    nextTick_ = now + kCatchUp;
    return;
  }
  catchingUp_ = false;
  nextTick_ = now + TickInterval();
  Handle({ reducer::Tick{} });
}

absl::Duration
Control::TickInterval() const
{
  return state_.claimTickets_.empty() ? kTickInterval : kClaimTickInterval;
}

std::vector<Control::Item>
Control::TakeItems()
{
  std::vector<Item> items;
  const absl::MutexLock lock(&mutex_);
  const auto ready = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    return !items_.empty() || stopping_;
  };
  mutex_.AwaitWithTimeout(absl::Condition(&ready), TickInterval());
  std::swap(items, items_);
  return items;
}

void
Control::Handle(const Item& aItem)
{
  if (aItem.inspect_ != nullptr) {
    (*aItem.inspect_)(state_);
    const absl::MutexLock lock(&mutex_);
    *aItem.inspected_ = true;
    return;
  }
  for (const auto& effect :
       reducer::Step(state_, { absl::Now(), random_() }, aItem.event_)) {
    perform_(effect);
  }
}

} // namespace lycheeplank::entry
