#pragma once

#include "session.h"

#include <string>
#include <vector>

namespace bamboostile::cli {

/** Options that every command accepts. */
struct GlobalOptions
{
  std::vector<std::string> m_control;
  unsigned m_timeoutMs = 10'000;
  bool m_json = false;
  std::string m_operator;
  std::string m_operationId;
  std::optional<std::uint64_t> m_expectedRevision;
};

/** The arguments after the command name, including options. */
using Arguments = std::vector<std::string>;

ExitCode RunPool(const GlobalOptions& aOptions, const Arguments& aArguments);
ExitCode RunService(const GlobalOptions& aOptions, const Arguments& aArguments);
ExitCode RunInstance(const GlobalOptions& aOptions,
                     const Arguments& aArguments);
ExitCode RunWave(const GlobalOptions& aOptions, const Arguments& aArguments);
ExitCode RunConfig(const GlobalOptions& aOptions, const Arguments& aArguments);
ExitCode RunControl(const GlobalOptions& aOptions, const Arguments& aArguments);
ExitCode RunJob(const GlobalOptions& aOptions, const Arguments& aArguments);
ExitCode RunQueue(const GlobalOptions& aOptions, const Arguments& aArguments);
ExitCode RunWorkspaces(const GlobalOptions& aOptions,
                       const Arguments& aArguments);
ExitCode RunPools(const GlobalOptions& aOptions, const Arguments& aArguments);
ExitCode RunAdmission(const GlobalOptions& aOptions,
                      const Arguments& aArguments);
ExitCode RunStatus(const GlobalOptions& aOptions, const Arguments& aArguments);
ExitCode RunRequest(const GlobalOptions& aOptions, const Arguments& aArguments);
ExitCode RunApply(const GlobalOptions& aOptions, const Arguments& aArguments);
ExitCode RunDiff(const GlobalOptions& aOptions, const Arguments& aArguments);

/** Prints the message to standard error and returns kBadInput. */
ExitCode PrintInputError(const std::string& aMessage);

} // namespace bamboostile::cli
