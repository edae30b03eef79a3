#include "reducer/internal.h"

namespace lycheeplank::reducer::detail {

namespace {

// Forwards the effects of the configuration module.
struct EffectForwarder
{
  Context& context_;

  void operator()(config::SendCommand& aEffect)
  {
    context_.effects_.emplace_back(
      SendCommand{ Module::Config, std::move(aEffect.command_) });
  }
  void operator()(config::Publish& aEffect)
  {
    OnConfigInForce(context_, ConfigInForce{ aEffect.accepted_->config_ });
    StepMembership(
      context_,
      membership::OwnStateChanged{ aEffect.accepted_->config_->revision_, 0 });
    context_.effects_.emplace_back(
      PublishConfig{ std::move(aEffect.accepted_) });
  }
  template<typename Other>
  void operator()(Other& aEffect)
  {
    context_.effects_.emplace_back(std::move(aEffect));
  }
};

} // namespace

void
StepConfig(Context& aContext, config::EventBody aBody)
{
  const config::Event event{ aContext.now_,
                             aContext.random_,
                             std::move(aBody) };
  for (auto& effect : config::Step(aContext.state_.configSync_, event)) {
    absl::visit(EffectForwarder{ aContext }, effect);
  }
}

} // namespace lycheeplank::reducer::detail
