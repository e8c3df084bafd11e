#include "app/configuration_reload.h"

#include <algorithm>
#include <exception>

#include "app/errors.h"
#include "app/settings_change.h"
#include "core/clock.h"
#include "log/event_kinds.h"
#include "log/log.h"

namespace walnutspur::app {

ConfigurationReload::ConfigurationReload(event_base* base, http::Config* config,
                                         http::DiscoveryClient* discovery, core::SubmitInput submit)
    : config_(config),
      discovery_(discovery),
      submit_(std::move(submit)),
      name_grace_timer_(loop::MakeTimer(base, [this] {
        if (classes_->RemoveExpiredNames(core::Now())) {
          PublishClasses();
        }
      })) {}

void ConfigurationReload::Reload() {
  try {
    const http::Config next = reader_();
    Check(next);
    ApplySettings(next);
    if (next.discovery == config_->discovery) {
      return;  // a signal without a change must not reopen the watch
    }
    config_->discovery = next.discovery;
    discovery_->SwitchServer();
  } catch (const std::exception& error) {
    log::Event(log::Level::kWarn, log::kConfigurationRejected,
               {{"error", error.what()}, {"in_use", "previous"}});
  }
}

void ConfigurationReload::Check(const http::Config& next) const {
  CheckKeys(config_->settings_document, next.settings_document);
  if (next.names.plans != config_->names.plans) {
    throw ConfigError("'settings.policies' has other names than at the start; allowed: the same plans");
  }
}

// The number of initiators and the parts of the settings that are not in the file stay as they are.
void ConfigurationReload::ApplySettings(const http::Config& next) {
  if (next.settings_document == config_->settings_document) {
    return;
  }
  if (!classes_) {
    classes_.emplace(*config_);
  }
  const Time now = core::Now();
  classes_->Update(next, now);
  Settings settings = next.settings;
  settings.plans = config_->settings.plans;
  std::copy(next.settings.plans.begin(), next.settings.plans.end(), settings.plans.begin());
  config_->settings = settings;
  config_->names.zones = next.names.zones;
  config_->names.kinds = next.names.kinds;
  config_->shards = next.shards;
  config_->idle_timeout = next.idle_timeout;
  config_->connect_timeout = next.connect_timeout;
  config_->settings_document = next.settings_document;
  PublishClasses();
  name_grace_timer_.Start(kClassNameGrace);
  log::Event(log::Level::kInfo, log::kConfigurationReloaded, {});
}

void ConfigurationReload::PublishClasses() {
  classes_->CopyTo(config_);
  submit_(core::SettingsChanged{config_->settings});
}

}  // namespace walnutspur::app
