#include "lab/fakes/chunked_response.h"

#include <array>
#include <cstdio>

namespace walnutspur::lab {

std::string FormatChunk(std::string_view data) {
  std::array<char, 20> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
  std::string chunk = size.data();
  chunk += data;
  chunk += "\r\n";
  return chunk;
}

}  // namespace walnutspur::lab
