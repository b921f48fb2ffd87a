#include "bamboostile/jobs/spec_codec.h"

#include "text.h"

namespace bamboostile::jobs {

namespace {

void
Write(const StepSpec& aStep, schema::StepSpec::Builder aTo)
{
  aTo.setCount(aStep.m_count);
  aTo.setCpuMillis(aStep.m_resources.m_cpuMillis);
  aTo.setMemoryMb(aStep.m_resources.m_memoryMb);
  aTo.setAccelerators(aStep.m_resources.m_accelerators);
  aTo.setEstimateMs(aStep.m_estimate.count());
  auto depends =
    aTo.initDependsOn(static_cast<unsigned>(aStep.m_dependsOn.size()));
  for (unsigned i = 0; i < depends.size(); ++i) {
    depends.set(i, aStep.m_dependsOn[i]);
  }
  aTo.setSavesProgress(aStep.m_savesProgress);
  aTo.setGang(aStep.m_gang);
  aTo.setSameRack(aStep.m_sameRack);
  aTo.setSpeculative(aStep.m_speculative);
  aTo.setLongRunning(aStep.m_longRunning);
  aTo.setFills(aStep.m_bestEffort);
  aTo.setRequiredLabel(ToText(aStep.m_requiredLabel));
  aTo.setPreferredRack(ToText(aStep.m_preferredRack.Get()));
  aTo.setMaxPerWorker(aStep.m_maxPerWorker);
  aTo.setImage(ToText(aStep.m_image.Get()));
  aTo.setLatencyTargetMs(aStep.m_latencyTarget.count());
  aTo.setHasDisruptionBudget(aStep.m_disruptionBudget.has_value());
  aTo.setDisruptionBudget(aStep.m_disruptionBudget.value_or(0));
}

StepSpec
Read(schema::StepSpec::Reader aFrom)
{
  StepSpec step;
  step.m_count = aFrom.getCount();
  step.m_resources = { aFrom.getCpuMillis(),
                       aFrom.getMemoryMb(),
                       aFrom.getAccelerators() };
  step.m_estimate = Millis{ aFrom.getEstimateMs() };
  for (const std::uint32_t earlier : aFrom.getDependsOn()) {
    step.DependOn(earlier);
  }
  step.m_savesProgress = aFrom.getSavesProgress();
  step.m_gang = aFrom.getGang();
  step.m_sameRack = aFrom.getSameRack();
  step.m_speculative = aFrom.getSpeculative();
  step.m_longRunning = aFrom.getLongRunning();
  step.m_bestEffort = aFrom.getFills();
  step.m_requiredLabel = Text(aFrom.getRequiredLabel());
  step.m_preferredRack = RackId{ Text(aFrom.getPreferredRack()) };
  step.m_maxPerWorker = aFrom.getMaxPerWorker();
  step.m_image = ImageId{ Text(aFrom.getImage()) };
  step.m_latencyTarget = Millis{ aFrom.getLatencyTargetMs() };
  if (aFrom.getHasDisruptionBudget()) {
    step.m_disruptionBudget = aFrom.getDisruptionBudget();
  }
  return step;
}

} // namespace

void
Write(const JobSpec& aSpec, schema::JobSpec::Builder aTo)
{
  aTo.setPayload(ToText(aSpec.m_payload));
  auto steps = aTo.initSteps(static_cast<unsigned>(aSpec.m_steps.size()));
  for (unsigned i = 0; i < steps.size(); ++i) {
    Write(aSpec.m_steps[i], steps[i]);
  }
  aTo.setRepeatCount(aSpec.m_repeatCount);
  aTo.setStartAtMs(aSpec.m_startAt.Get());
  aTo.setIntervalMs(aSpec.m_interval.count());
}

JobSpec
Read(schema::JobSpec::Reader aFrom)
{
  JobSpec spec;
  spec.m_payload = Text(aFrom.getPayload());
  for (auto step : aFrom.getSteps()) {
    spec.m_steps.push_back(Read(step));
  }
  spec.m_repeatCount = aFrom.getRepeatCount();
  spec.m_startAt = WallTime{ aFrom.getStartAtMs() };
  spec.m_interval = Millis{ aFrom.getIntervalMs() };
  return spec;
}

} // namespace bamboostile::jobs
