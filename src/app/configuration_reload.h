// Reloads the platform's configuration while the process runs.
//
// Owned by the Initiator; runs on the event-loop thread.
#ifndef WALNUTSPUR_APP_CONFIGURATION_RELOAD_H_
#define WALNUTSPUR_APP_CONFIGURATION_RELOAD_H_

#include <functional>
#include <utility>

#include "http/config.h"
#include "http/discovery_client.h"

namespace walnutspur::app {

class ConfigurationReload {
 public:
  // Reads and checks the complete configuration; throws std::exception if it is invalid.
  using Reader = std::function<http::Config()>;

  // Updates `config` and `discovery`, which must outlive this object.
  ConfigurationReload(http::Config* config, http::DiscoveryClient* discovery);

  void set_reader(Reader reader) { reader_ = std::move(reader); }
  bool enabled() const { return static_cast<bool>(reader_); }

  // Reads the configuration and applies the address of discovery; changes of other settings take effect only
  // after a restart. An invalid configuration is logged and changes nothing.
  void Reload();

 private:
  http::Config* config_;
  http::DiscoveryClient* discovery_;
  Reader reader_;
};

}  // namespace walnutspur::app

#endif  // WALNUTSPUR_APP_CONFIGURATION_RELOAD_H_
