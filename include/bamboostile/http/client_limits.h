#pragma once

#include "bamboostile/http/memory_budget.h"

#include <cstddef>
#include <memory>

namespace bamboostile::http {

/** What the clients of a process may use together, over all its listeners. */
struct ClientLimits
{
  /** Divides what the process may use: bytes of memory, and descriptors. */
  static ClientLimits For(std::uint64_t aMemory, std::uint64_t aDescriptors);
  /** Returns how many descriptors the process may open. */
  static std::uint64_t MaxDescriptors();

  std::shared_ptr<MemoryBudget> m_memory = MemoryBudget::ForMachine();
  /** Connections that send requests; those of control replicas and entries
   * among themselves; and those that only ask for the state of the process. */
  std::size_t m_requestConnections = 4096;
  std::size_t m_peerConnections = 1024;
  std::size_t m_probeConnections = 256;
};

} // namespace bamboostile::http
