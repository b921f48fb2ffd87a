#include "commands.h"

#include <boost/program_options.hpp>

#include <cstdlib>
#include <iostream>
#include <map>
#include <sstream>

namespace {

namespace po = boost::program_options;
using namespace bamboostile::cli;

using CommandHandler = ExitCode (*)(const GlobalOptions&, const Arguments&);

struct Command
{
  CommandHandler m_handler;
  const char* m_usage;
};

const std::map<std::string, Command>&
Commands()
{
  static const std::map<std::string, Command> kCommands{
    { "status",
      { RunStatus,
        "status\n  Shows replicas, entries, services, pools, instances and "
        "waves.\n  Example: bamboostile status --json\n" } },
    { "pool",
      { RunPool,
        "pool list | put ID --service S [--home TEXT] | drain ID | resume ID "
        "| remove ID\n  Example: bamboostile pool put desk-a-new --service "
        "desk-a --home provider-b\n" } },
    { "service",
      { RunService,
        "service list | put ID [--max-unavailable-percent N] "
        "[--survive-rack true|false]\n    [--default-timeout-ms N] "
        "[--retry-budget-percent N] [--queue-limit N]\n    "
        "[--post-is-idempotent true|false] | remove ID\n  Example: bamboostile "
        "service put desk-a --default-timeout-ms 3000\n" } },
    { "instance",
      { RunInstance,
        "instance list | move ID --pool P | cordon ID | uncordon ID | remove "
        "ID\n  Example: bamboostile instance move w-17 --pool desk-a-new\n" } },
    { "wave",
      { RunWave,
        "wave list | plan --pool P | create ID --pool P | start ID | pause ID "
        "| resume ID | cancel ID\n  Example: bamboostile wave create dec-1 "
        "--pool desk-a-old\n" } },
    { "config",
      { RunConfig,
        "config show | status | set FIELD=VALUE...\n  Example: bamboostile "
        "config set panicPercent=40 note=month-end\n" } },
    { "control",
      { RunControl,
        "control list | init | add IP:PORT | remove INSTANCE\n  Example: "
        "bamboostile control add 10.0.0.2:7100\n" } },
    { "queue",
      { RunQueue,
        "queue list | show NAME [--api-key-file FILE] | diff FILE | apply "
        "FILE\n  "
        "Job queues and workspaces; apply activates "
        "the JSON table in FILE if its version is the highest.\n  "
        "Example: bamboostile queue apply examples/queues.json\n" } },
    { "job",
      { RunJob,
        "job submit QUEUE ID --file SPEC | show QUEUE ID | cancel QUEUE ID\n  "
        "  [--api-key-file FILE]\n  "
        "SPEC is a JSON job, as in docs/INTERFACE.md; one ID is one job, "
        "however "
        "often it is submitted.\n  Example: bamboostile job submit letters "
        "7f3a91c2 --file examples/job.json\n" } },
    { "workspaces",
      { RunWorkspaces,
        "workspaces\n  Share, cap, use and calls of each workspace, as the "
        "leader knows them now.\n  Example: bamboostile workspaces "
        "--json\n" } },
    { "pools",
      { RunPools,
        "pools\n  Size, load and plan of each pool of instances, as the leader "
        "knows them now.\n  Example: bamboostile pools --json\n" } },
    { "admission",
      { RunAdmission,
        "admission\n  Jobs accepted and refused by queue, and the last "
        "estimates.\n  Example: bamboostile admission --json\n" } },
    { "request",
      { RunRequest,
        "request METHOD TARGET --entry IP:PORT [--key ID] [--timeout-ms N] "
        "[--class C]\n    [--attempt N] [--body TEXT]\n  Example: bamboostile "
        "request POST /desk-a/reviews --entry 127.0.0.1:8080 --key r-1 --body "
        "'{}'\n" } },
    { "apply",
      { RunApply,
        "apply FILE\n  Carries out a reviewed JSON file of operator calls; "
        "calls whose result is already in place are skipped.\n  Example: "
        "bamboostile apply examples/fleet.json\n" } },
    { "diff",
      { RunDiff,
        "diff FILE\n  Shows what apply would change, and changes nothing.\n  "
        "Example: bamboostile diff examples/fleet.json\n" } },
  };
  return kCommands;
}

po::options_description
DescribeGlobalOptions()
{
  const char* control = std::getenv("BAMBOOSTILE_CONTROL");
  const char* user = std::getenv("USER");
  po::options_description options("Options of every command");
  options.add_options()("help,h", "show help")(
    "control",
    po::value<std::string>()->default_value(
      control != nullptr ? control : "127.0.0.1:7101"),
    "control replicas, comma-separated IP:PORT; also BAMBOOSTILE_CONTROL")(
    "json", "print JSON")("operator",
                          po::value<std::string>()->default_value(
                            user != nullptr ? user : "operator"),
                          "operator recorded as the author of the change")(
    "operation-id",
    po::value<std::string>(),
    "id of the call; repeating it returns the first answer")(
    "expect",
    po::value<std::uint64_t>(),
    "revision the object must have; default: the current one")(
    "patience-ms",
    po::value<unsigned>()->default_value(10'000),
    "how long to retry until a leader answers");
  return options;
}

void
PrintHelp(std::ostream& aOut)
{
  aOut << "bamboostile COMMAND ... [options]\n\n";
  for (const auto& [name, command] : Commands()) {
    aOut << "  " << command.m_usage;
  }
  aOut << "\n"
       << DescribeGlobalOptions()
       << "\nExit codes: 0 done, 1 refused with a reason, 2 bad input, 3 "
          "outcome unknown\n(repeat the call with the operation id that "
          "is printed).\n";
}

std::vector<std::string>
SplitAddresses(const std::string& aText)
{
  std::vector<std::string> addresses;
  std::istringstream parts(aText);
  std::string part;
  while (std::getline(parts, part, ',')) {
    if (!part.empty()) {
      addresses.push_back(part);
    }
  }
  return addresses;
}

GlobalOptions
ReadGlobalOptions(const po::variables_map& aValues)
{
  GlobalOptions options;
  options.m_control = SplitAddresses(aValues["control"].as<std::string>());
  options.m_timeoutMs = aValues["patience-ms"].as<unsigned>();
  options.m_json = aValues.count("json") > 0;
  options.m_operator = aValues["operator"].as<std::string>();
  if (aValues.count("operation-id") > 0) {
    options.m_operationId = aValues["operation-id"].as<std::string>();
  }
  if (aValues.count("expect") > 0) {
    options.m_expectedRevision = aValues["expect"].as<std::uint64_t>();
  }
  return options;
}

ExitCode
Main(int aCount, char** aArguments)
{
  if (aCount < 2 || std::string{ aArguments[1] } == "--help" ||
      std::string{ aArguments[1] } == "-h") {
    PrintHelp(aCount < 2 ? std::cerr : std::cout);
    return aCount < 2 ? ExitCode::kBadInput : ExitCode::kDone;
  }
  const auto found = Commands().find(aArguments[1]);
  if (found == Commands().end()) {
    return PrintInputError("command: '" + std::string{ aArguments[1] } +
                           "' is unknown; see bamboostile --help");
  }
  po::variables_map values;
  Arguments commandArguments;
  // The parsed options refer to their description, which must outlive them.
  const po::options_description description = DescribeGlobalOptions();
  try {
    const auto parsed = po::command_line_parser(aCount - 1, aArguments + 1)
                          .options(description)
                          .allow_unregistered()
                          .run();
    po::store(parsed, values);
    commandArguments =
      po::collect_unrecognized(parsed.options, po::include_positional);
  } catch (const po::error& error) {
    return PrintInputError(error.what());
  }
  if (values.count("help") > 0) {
    std::cout << found->second.m_usage << "\n" << DescribeGlobalOptions();
    return ExitCode::kDone;
  }
  const GlobalOptions options = ReadGlobalOptions(values);
  if (options.m_control.empty()) {
    return PrintInputError("--control: no address given");
  }
  return found->second.m_handler(options, commandArguments);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  try {
    return static_cast<int>(Main(aCount, aArguments));
  } catch (const std::exception& error) {
    std::cerr << "bamboostile: " << error.what() << "\n";
    return static_cast<int>(ExitCode::kUnknown);
  }
}
