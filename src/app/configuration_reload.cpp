#include "app/configuration_reload.h"

#include <exception>

#include "log/event_kinds.h"
#include "log/log.h"

namespace walnutspur::app {

ConfigurationReload::ConfigurationReload(http::Config* config, http::DiscoveryClient* discovery)
    : config_(config), discovery_(discovery) {}

void ConfigurationReload::Reload() {
  try {
    const http::Config next = reader_();
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

}  // namespace walnutspur::app
