#pragma once

#include "bamboostile/jobs/model.h"

namespace bamboostile::jobs {

enum class CallKind
{
  kSubmit,
  /** The state of a job, or of the whole queue. */
  kLook,
  kCancel,
};

const char* Describe(CallKind aKind) noexcept;

/** A call of a caller of a queue, as an entry took it. */
struct QueueCall
{
  CallKind m_kind = CallKind::kLook;
  std::string m_host;
  /** The queue's prefix and the job's id, or the prefix alone. */
  std::string m_path;
  /** Of a submission. */
  JobSpec m_spec;
};

enum class QueueOutcome
{
  kOk,
  kNotLeader,
  /** No table of routes is in force yet. */
  kNoRoutes,
  kNoQueue,
  kNoJob,
  /** Not accepted, and never will be by this call. */
  kRefused,
  /** Proposed, but its fate is not known; the same call again finds out. */
  kUndecided,
  kBadJob,
};

const char* Describe(QueueOutcome aOutcome) noexcept;

/** What callers see of a job. */
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
  /** Of a replica that does not lead: who does, as far as it knows. */
  std::string m_leaderAddress;
  JobView m_state = JobView::kQueued;
  /** Set where the path named a queue. */
  std::optional<std::uint64_t> m_pending;
  Millis m_retryAfter{};
  std::string m_detail;
};

} // namespace bamboostile::jobs
