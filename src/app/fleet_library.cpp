#include "app/fleet_library.h"

#include <dlfcn.h>

#include <filesystem>
#include <string>
#include <utility>

#include "app/errors.h"

namespace walnutspur::app {
namespace {

constexpr const char* kLibrary = "libwalnutspur_fleet.so";

void* LoadLibrary() {
  const auto folder = std::filesystem::read_symlink("/proc/self/exe").parent_path();
  for (const auto& path : {folder / kLibrary, folder.parent_path() / kLibrary}) {
    void* library = dlopen(path.c_str(), RTLD_NOW | RTLD_LOCAL);
    if (library != nullptr) {
      return library;
    }
  }
  throw FleetError(std::string("fleet: cannot load ") + kLibrary + ": " + dlerror());
}

}  // namespace

std::unique_ptr<fleet::Fleet> OpenFleet(event_base* base, const fleet::FleetOptions& options,
                                        fleet::FleetHooks hooks) {
  const auto open = reinterpret_cast<fleet::OpenFunction*>(dlsym(LoadLibrary(), fleet::kEntryPoint));
  if (open == nullptr) {
    throw FleetError(std::string("fleet: ") + kLibrary + " is of another version: it does not export " +
                     fleet::kEntryPoint);
  }
  return std::unique_ptr<fleet::Fleet>(open(base, options, std::move(hooks)));
}

}  // namespace walnutspur::app
