#ifndef LYCHEEPLANK_ENTRY_APP_H
#define LYCHEEPLANK_ENTRY_APP_H

#include <memory>

#include "entry/settings.h"

namespace lycheeplank::entry {

// The entry process: all its modules and threads.
class App
{
public:
  // Starts to listen and serve. Throws std::runtime_error if that fails.
  explicit App(const Settings& aSettings);
  ~App();
  App(const App&) = delete;
  App& operator=(const App&) = delete;

  // Withdraws this host from the lists of entry hosts, stops listening and
  // returns once all open requests are finished.
  void Drain();

  struct Impl;

private:
  std::unique_ptr<Impl> impl_;
};

} // namespace lycheeplank::entry

#endif
