#pragma once

#include "session.h"

#include <string>
#include <vector>

namespace bamboostile::cli {

/** Options that every subcommand takes. */
struct Common
{
  std::vector<std::string> m_control;
  unsigned m_patienceMs = 10'000;
  bool m_json = false;
  std::string m_operator;
  std::string m_operationId;
  std::optional<std::uint64_t> m_expected;
};

/** The words after the subcommand, options included. */
using Words = std::vector<std::string>;

ExitCode RunPool(const Common& aCommon, const Words& aWords);
ExitCode RunService(const Common& aCommon, const Words& aWords);
ExitCode RunInstance(const Common& aCommon, const Words& aWords);
ExitCode RunWave(const Common& aCommon, const Words& aWords);
ExitCode RunConfig(const Common& aCommon, const Words& aWords);
ExitCode RunControl(const Common& aCommon, const Words& aWords);
ExitCode RunJob(const Common& aCommon, const Words& aWords);
ExitCode RunQueue(const Common& aCommon, const Words& aWords);
ExitCode RunStatus(const Common& aCommon, const Words& aWords);
ExitCode RunRequest(const Common& aCommon, const Words& aWords);
ExitCode RunApply(const Common& aCommon, const Words& aWords);
ExitCode RunDiff(const Common& aCommon, const Words& aWords);

/** Says on standard error what was wrong with the input. */
ExitCode BadInput(const std::string& aWhat);

} // namespace bamboostile::cli
