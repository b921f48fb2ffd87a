#include "bamboostile/placement/open_job_index.h"

#include <algorithm>

namespace bamboostile::placement {

namespace {

/** Callers choose the names of images: the index starts anew rather than keep
 * names of ended jobs without limit. */
constexpr std::size_t kMaxNames = 10'000;

} // namespace

template<typename Name>
std::uint32_t
OpenJobIndex::Numbers<Name>::Get(const Name& aName)
{
  const auto next = static_cast<std::uint32_t>(m_names.size());
  const auto [found, isNew] = m_numbers.try_emplace(aName, next);
  if (isNew) {
    m_names.push_back(aName);
  }
  return found->second;
}

OpenJobIndex::Entry
OpenJobIndex::MakeEntry(const jobs::Job& aJob)
{
  Entry entry{ aJob.m_order, m_queues.Get(aJob.m_queue), {} };
  entry.m_images.reserve(aJob.m_spec.m_steps.size());
  for (const jobs::StepSpec& step : aJob.m_spec.m_steps) {
    entry.m_images.push_back(m_images.Get(step.m_image));
  }
  return entry;
}

// Both lists are in order of acceptance, and new jobs are at the end.
const std::vector<OpenJobIndex::Entry>&
OpenJobIndex::Update(const std::vector<const jobs::Job*>& aJobs)
{
  if (m_images.m_names.size() > kMaxNames ||
      m_queues.m_names.size() > kMaxNames) {
    *this = OpenJobIndex{};
  }
  auto job = aJobs.begin();
  std::erase_if(m_entries, [&](const Entry& aEntry) {
    const bool isOpen = job != aJobs.end() && (*job)->m_order == aEntry.m_order;
    job += isOpen ? 1 : 0;
    return !isOpen;
  });
  for (; job != aJobs.end(); ++job) {
    m_entries.push_back(MakeEntry(**job));
  }
  return m_entries;
}

} // namespace bamboostile::placement
