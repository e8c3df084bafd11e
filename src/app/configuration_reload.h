// Reloads the platform's configuration while the process runs.
//
// Owned by the Initiator; runs on the event-loop thread.
#ifndef WALNUTSPUR_APP_CONFIGURATION_RELOAD_H_
#define WALNUTSPUR_APP_CONFIGURATION_RELOAD_H_

#include <functional>
#include <optional>
#include <utility>

#include "app/class_table.h"
#include "core/port.h"
#include "http/config.h"
#include "http/discovery_client.h"
#include "loop/loop.h"

namespace walnutspur::app {

class ConfigurationReload {
 public:
  // Reads and checks the complete configuration; throws std::exception if it is invalid.
  using Reader = std::function<http::Config()>;

  // Updates `config` and `discovery`, which must outlive this object, and submits the settings.
  ConfigurationReload(event_base* base, http::Config* config, http::DiscoveryClient* discovery,
                      core::SubmitInput submit);

  void set_reader(Reader reader) { reader_ = std::move(reader); }
  bool enabled() const { return static_cast<bool>(reader_); }

  // Reads the configuration and applies its settings and the address of discovery; addresses and limits of
  // the process take effect only after a restart. A request under way keeps its class. A configuration that
  // is invalid, or lacks a key that the present one has, is logged and changes nothing.
  void Reload();

 private:
  // Throws ConfigError if the settings cannot replace the present ones.
  void Check(const http::Config& next) const;
  void ApplySettings(const http::Config& next);
  // Sets the classes of the configuration and submits its settings.
  void PublishClasses();

  http::Config* config_;
  http::DiscoveryClient* discovery_;
  core::SubmitInput submit_;
  Reader reader_;
  std::optional<ClassTable> classes_;  // nullopt until the first change
  loop::EventHandle name_grace_timer_;
};

}  // namespace walnutspur::app

#endif  // WALNUTSPUR_APP_CONFIGURATION_RELOAD_H_
