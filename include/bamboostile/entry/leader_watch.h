#pragma once

#include "bamboostile/entry/leader_client.h"

namespace bamboostile::entry {

/**
 * @brief Polls the control replicas for the current leader.
 *
 * Used by a process that is not a member of the control group, on a single KJ
 * event loop.
 */
class LeaderWatch final : private kj::TaskSet::ErrorHandler
{
public:
  LeaderWatch(kj::AsyncIoProvider& aProvider,
              const std::vector<std::string>& aSeeds);

  /** RPC address of the leader; empty while no replica answers as leader. */
  const std::string& LeaderAddress() const { return m_leader; }
  void SetSeeds(const std::vector<std::string>& aSeeds)
  {
    m_client.SetSeeds(aSeeds);
  }

private:
  void taskFailed(kj::Exception&& aException) override;
  kj::Promise<void> Loop();
  void OnAnswer(const jobs::QueueReply& aReply);

  kj::Timer& m_timer;
  LeaderClient m_client;
  std::string m_leader;
  kj::TaskSet m_tasks;
};

} // namespace bamboostile::entry
