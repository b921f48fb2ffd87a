#pragma once

#include "bamboostile/jobs/model.h"

namespace bamboostile::jobs {

enum class CallKind
{
  kSubmit,
  /** Queries the state of a job or of the whole queue. */
  kQuery,
  kCancel,
};

const char* Describe(CallKind aKind) noexcept;

/** A caller's call to a queue, as an entry received it. */
struct QueueCall
{
  CallKind m_kind = CallKind::kQuery;
  std::string m_host;
  /** The queue's path prefix, followed by the job's id if the call names one.
   */
  std::string m_path;
  /** Set for kSubmit only. */
  JobSpec m_spec;
  /** Digest of the key that the call carries. */
  workspaces::KeyDigest m_key;
};

enum class QueueOutcome
{
  kOk,
  kNotLeader,
  /** No route table has been applied yet. */
  kNoRoutes,
  kNoQueue,
  kNoJob,
  /** Not accepted; this call will not be accepted later either. */
  kRefused,
  /** Proposed, but not known to be committed; repeating the call returns the
   * outcome. */
  kUndecided,
  kBadJob,
  /** The call carries no key of a workspace, and its queue is not public. */
  kUnauthorized,
};

const char* Describe(QueueOutcome aOutcome) noexcept;

/** Job state as reported to callers. */
enum class JobView
{
  kQueued,
  kRunning,
  kCompleted,
  kFailed,
  kCancelled,
};

JobView ViewOf(const Job& aJob);

struct QueueReply
{
  QueueOutcome m_outcome = QueueOutcome::kNotLeader;
  /** Address of the leader if this replica is not the leader and knows it. */
  std::string m_leaderAddress;
  JobView m_state = JobView::kQueued;
  /** Number of pending jobs; set if the path matches a queue. */
  std::optional<std::uint64_t> m_pending;
  Millis m_retryAfter{};
  std::string m_detail;
};

} // namespace bamboostile::jobs
