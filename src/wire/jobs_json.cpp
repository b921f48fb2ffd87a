#include "bamboostile/wire/jobs_json.h"

#include <array>
#include <utility>

namespace bamboostile::wire {

namespace {

using namespace json;

constexpr std::size_t kMaxSteps = 64;
constexpr std::uint32_t kMaxTasksOfStep = 10'000;

constexpr std::array<std::pair<const char*, jobs::RunEnd>, 7> kRunEnds{ {
  { "done", jobs::RunEnd::kDone },
  { "failed", jobs::RunEnd::kFailed },
  { "stopped", jobs::RunEnd::kStopped },
  { "leaseExpired", jobs::RunEnd::kLeaseExpired },
  { "gangBroken", jobs::RunEnd::kGangBroken },
  { "gangIncomplete", jobs::RunEnd::kGangIncomplete },
  { "refused", jobs::RunEnd::kRefused },
} };

jobs::StepSpec
ReadStep(const Json& aFrom, std::size_t aNumber)
{
  if (!aFrom.is_object()) {
    Reject("steps", "a list of objects");
  }
  jobs::StepSpec step;
  step.m_count = CountAt(aFrom, "count");
  if (step.m_count == 0 || step.m_count > kMaxTasksOfStep) {
    Reject("count",
           "a whole number from 1 to " + std::to_string(kMaxTasksOfStep));
  }
  step.m_resources = { CountAt(aFrom, "cpuMillis"),
                       CountAt(aFrom, "memoryMb"),
                       CountAt(aFrom, "accelerators") };
  step.m_estimate = MillisAt(aFrom, "estimateMs");
  for (const Json& earlier : ListAt(aFrom, "dependsOn")) {
    const std::uint32_t number = CountOf(earlier, "dependsOn");
    if (number >= aNumber) {
      Reject("dependsOn", "numbers of earlier steps");
    }
    step.DependOn(number);
  }
  step.m_savesProgress = BoolAt(aFrom, "savesProgress");
  step.m_gang = BoolAt(aFrom, "gang");
  step.m_sameRack = BoolAt(aFrom, "sameRack");
  step.m_speculative = BoolAt(aFrom, "speculative");
  step.m_longRunning = BoolAt(aFrom, "longRunning");
  step.m_bestEffort = BoolAt(aFrom, "fills");
  step.m_requiredLabel = StringAt(aFrom, "requiredLabel");
  step.m_preferredRack = RackId{ StringAt(aFrom, "preferredRack") };
  step.m_maxPerWorker = CountAt(aFrom, "maxPerWorker");
  step.m_image = ImageId{ StringAt(aFrom, "image") };
  step.m_latencyTarget = MillisAt(aFrom, "latencyTargetMs");
  if (Find(aFrom, "disruptionBudget") != nullptr) {
    step.m_disruptionBudget = CountAt(aFrom, "disruptionBudget");
  }
  return step;
}

jobs::TaskRef
ReadTask(const Json& aFrom)
{
  if (!aFrom.is_object()) {
    Reject("task", "an object");
  }
  return { JobId{ NonEmptyStringAt(aFrom, "job") },
           CountAt(aFrom, "occurrence"),
           CountAt(aFrom, "step"),
           CountAt(aFrom, "index") };
}

Json
ToJson(const jobs::TaskRef& aTask, RunNumber aRun)
{
  return { { "job", aTask.m_job.Get() },
           { "occurrence", aTask.m_occurrence },
           { "step", aTask.m_step },
           { "index", aTask.m_index },
           { "run", aRun.Get() } };
}

WorkerIncarnation
ReadIncarnation(const std::string& aWorker, const Json& aFrom)
{
  CheckId(aWorker, "id");
  return { WorkerId{ aWorker }, WallTime{ IntegerAt(aFrom, "startedAtMs") } };
}

jobs::RunEnd
ReadEnd(const std::string& aName)
{
  for (const auto& [name, end] : kRunEnds) {
    if (aName == name) {
      return end;
    }
  }
  Reject("how",
         "done, failed, stopped, leaseExpired, gangBroken, gangIncomplete or "
         "refused");
}

} // namespace

const char*
NameOf(jobs::JobView aView) noexcept
{
  switch (aView) {
    case jobs::JobView::kQueued:
      return "queued";
    case jobs::JobView::kRunning:
      return "running";
    case jobs::JobView::kCompleted:
      return "completed";
    case jobs::JobView::kFailed:
      return "failed";
    case jobs::JobView::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

std::optional<jobs::JobSpec>
ReadJobSpec(const std::string& aBody, InvalidField& aBad)
{
  return CatchInvalidField(aBad, [&]() {
    const Json body = ParseObject(aBody);
    jobs::JobSpec spec;
    spec.m_payload = StringAt(body, "payload");
    const Json& steps = ListAt(body, "steps", true);
    if (steps.empty() || steps.size() > kMaxSteps) {
      Reject("steps", "1 to " + std::to_string(kMaxSteps) + " steps");
    }
    for (const Json& step : steps) {
      spec.m_steps.push_back(ReadStep(step, spec.m_steps.size()));
    }
    spec.m_repeatCount = CountAt(body, "repeatCount");
    spec.m_startAt = WallTime{ IntegerAt(body, "startAtMs") };
    spec.m_interval = MillisAt(body, "intervalMs");
    return spec;
  });
}

std::optional<WorkerIncarnation>
ReadWorkerLeave(const std::string& aWorker,
                const std::string& aBody,
                InvalidField& aBad)
{
  return CatchInvalidField(aBad, [&]() {
    const Json body = aBody.empty() ? Json::object() : ParseObject(aBody);
    return ReadIncarnation(aWorker, body);
  });
}

std::optional<placement::WorkerReport>
ReadWorkerReport(const std::string& aWorker,
                 const std::string& aBody,
                 InvalidField& aBad)
{
  return CatchInvalidField(aBad, [&]() {
    const Json body = ParseObject(aBody);
    placement::WorkerReport report;
    report.m_worker = ReadIncarnation(aWorker, body);
    report.m_instance = InstanceId{ NonEmptyStringAt(body, "instance") };
    CheckLength(report.m_instance.Get(), "instance");
    report.m_service = ServiceId{ NonEmptyStringAt(body, "service") };
    report.m_zone = ZoneId{ StringAt(body, "zone") };
    report.m_rack = RackId{ StringAt(body, "rack") };
    for (const Json& label : ListAt(body, "labels")) {
      report.m_labels.insert(StringOf(label, "labels"));
    }
    report.m_capacity = { CountAt(body, "cpuMillis"),
                          CountAt(body, "memoryMb"),
                          CountAt(body, "accelerators") };
    report.m_draining = BoolAt(body, "draining");
    report.m_sequence = static_cast<std::uint64_t>(IntegerAt(body, "sequence"));
    for (const Json& row : ListAt(body, "active")) {
      placement::RunReport& run = report.m_active.emplace_back();
      run.m_task = ReadTask(row);
      run.m_run = RunNumber{ CountAt(row, "run") };
      run.m_checkpoint = StringAt(row, "checkpoint");
      run.m_percent = CountAt(row, "percent");
      run.m_load = CountAt(row, "load");
    }
    for (const Json& row : ListAt(body, "ended")) {
      placement::EndReport& end = report.m_ended.emplace_back();
      end.m_task = ReadTask(row);
      end.m_number = static_cast<std::uint64_t>(IntegerAt(row, "number"));
      end.m_run = RunNumber{ CountAt(row, "run") };
      end.m_endReason = ReadEnd(StringAt(row, "how"));
      end.m_checkpoint = StringAt(row, "checkpoint");
    }
    return report;
  });
}

std::string
WriteOrders(const placement::Orders& aOrders, Term aFencingToken)
{
  Json body{ { "leaseMs", ToMillis(aOrders.m_lease).count() },
             { "ackedUpTo", aOrders.m_ackedUpTo },
             { "fencingToken", aFencingToken.Get() },
             { "nextReportMs", ToMillis(aOrders.m_nextReport).count() },
             { "start", Json::array() },
             { "stop", Json::array() },
             { "rate", Json::array() } };
  for (const auto& start : aOrders.m_starts) {
    Json row = ToJson(start.m_task, start.m_run);
    row["payload"] = start.m_payload;
    row["checkpoint"] = start.m_checkpoint;
    body["start"].push_back(std::move(row));
  }
  for (const auto& stop : aOrders.m_stops) {
    body["stop"].push_back(ToJson(stop.m_task, stop.m_run));
  }
  for (const auto& rate : aOrders.m_rates) {
    Json row = ToJson(rate.m_task, rate.m_run);
    row["percent"] = rate.m_percent;
    body["rate"].push_back(std::move(row));
  }
  return body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace bamboostile::wire
