// Logs what happened at a bound of the process's memory account. Any thread.
#ifndef WALNUTSPUR_FRONTEND_MEMORY_LOG_H_
#define WALNUTSPUR_FRONTEND_MEMORY_LOG_H_

#include <cstdint>
#include <string_view>

#include "core/memory_account.h"

namespace walnutspur::frontend {

// Logs that a reservation of `owner` failed and what was done about it. `connection` is the number of the
// connection that wanted the memory.
void LogMemoryLimit(const core::MemoryAccount& account, limits::MemoryOwner owner, std::string_view outcome,
                    std::uint64_t connection);

}  // namespace walnutspur::frontend

#endif  // WALNUTSPUR_FRONTEND_MEMORY_LOG_H_
