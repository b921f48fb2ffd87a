#include "bamboostile/jobs/calls.h"

namespace bamboostile::jobs {

const char*
Describe(CallKind aKind) noexcept
{
  switch (aKind) {
    case CallKind::kSubmit:
      return "submit";
    case CallKind::kQuery:
      return "look";
    case CallKind::kCancel:
      return "cancel";
  }
  return "unknown";
}

const char*
Describe(QueueOutcome aOutcome) noexcept
{
  switch (aOutcome) {
    case QueueOutcome::kOk:
      return "ok";
    case QueueOutcome::kNotLeader:
      return "no leader is known";
    case QueueOutcome::kNoRoutes:
      return "no routes are in force yet";
    case QueueOutcome::kNoQueue:
      return "no such queue";
    case QueueOutcome::kNoJob:
      return "no such job";
    case QueueOutcome::kRefused:
      return "refused";
    case QueueOutcome::kUndecided:
      return "not known yet";
    case QueueOutcome::kBadJob:
      return "bad job";
    case QueueOutcome::kUnauthorized:
      return "no valid key";
  }
  return "unknown";
}

JobView
ViewOf(const Job& aJob)
{
  switch (aJob.m_state) {
    case JobState::kActive:
      return aJob.m_started ? JobView::kRunning : JobView::kQueued;
    case JobState::kCompleted:
      return JobView::kCompleted;
    case JobState::kFailed:
      return JobView::kFailed;
    case JobState::kCancelled:
      return JobView::kCancelled;
  }
  return JobView::kQueued;
}

} // namespace bamboostile::jobs
