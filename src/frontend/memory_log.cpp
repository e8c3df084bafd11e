#include "frontend/memory_log.h"

#include <string>

#include "log/event_kinds.h"
#include "log/log.h"

namespace walnutspur::frontend {

void LogMemoryLimit(const core::MemoryAccount& account, limits::MemoryOwner owner, std::string_view outcome,
                    std::uint64_t connection) {
  const limits::MemoryBudget budget = account.budget();
  log::Event(log::Level::kWarn, log::kMemoryLimitReached,
             {{"owner", limits::NameOf(owner)},
              {"outcome", std::string(outcome)},
              {"connection", std::to_string(connection)},
              {"owner_bytes", std::to_string(budget.used(owner))},
              {"owner_limit_bytes", std::to_string(budget.owner_limit())},
              {"total_bytes", std::to_string(budget.total())},
              {"total_limit_bytes", std::to_string(budget.total_limit())}});
}

}  // namespace walnutspur::frontend
