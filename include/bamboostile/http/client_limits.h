#pragma once

#include "bamboostile/http/memory_budget.h"

#include <memory>

namespace bamboostile::http {

/** What the clients of a process may use together, over all its listeners. */
struct ClientLimits
{
  std::shared_ptr<MemoryBudget> m_memory = MemoryBudget::ForMachine();
};

} // namespace bamboostile::http
