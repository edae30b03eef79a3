#ifndef LYCHEEPLANK_ENTRY_APP_H
#define LYCHEEPLANK_ENTRY_APP_H

#include <memory>

#include "entry/settings.h"

namespace lycheeplank::entry {

// The whole process on an entry host.
class App
{
public:
  // Starts to listen and to serve; throws std::runtime_error if it can't.
  explicit App(const Settings& aSettings);
  ~App();
  App(const App&) = delete;
  App& operator=(const App&) = delete;

  // Leaves the lists of hosts, finishes all requests and returns.
  void Drain();

  struct Impl;

private:
  std::unique_ptr<Impl> impl_;
};

} // namespace lycheeplank::entry

#endif
