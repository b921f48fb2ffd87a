#pragma once

#include "bamboostile/jobs/model.h"
#include "bamboostile/placement/durations.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace bamboostile::placement {

/**
 * @brief Numbers for the names in the open jobs, found once per job, so that a
 * tick does not hash the names of every job's queue and images again.
 *
 * Queues and images of a job never change. A number stands for the same name
 * until the index is cleared.
 */
class OpenJobIndex
{
public:
  struct Entry
  {
    std::uint64_t m_order = 0;
    std::uint32_t m_queue = 0;
    /** By step. */
    std::vector<std::uint32_t> m_images;
  };

  /** aJobs: the open jobs in order of acceptance. Returns an entry for each, in
   * the same order. */
  const std::vector<Entry>& Update(const std::vector<const jobs::Job*>& aJobs);

  const std::vector<QueueId>& Queues() const { return m_queues.m_names; }
  const std::vector<ImageId>& Images() const { return m_images.m_names; }

private:
  template<typename Name>
  struct Numbers
  {
    std::unordered_map<Name, std::uint32_t> m_numbers;
    std::vector<Name> m_names;

    std::uint32_t Get(const Name& aName);
  };

  Entry MakeEntry(const jobs::Job& aJob);

  std::vector<Entry> m_entries;
  Numbers<QueueId> m_queues;
  Numbers<ImageId> m_images;
};

} // namespace bamboostile::placement
