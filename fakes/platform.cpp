// A small platform: on POST /v1/restart/{instance}?incarnation=N it restarts
// the fake upstream of that name, once for each incarnation.

#include "bamboostile/http/client.h"
#include "bamboostile/http/server.h"

#include <boost/program_options.hpp>

#include <atomic>
#include <csignal>
#include <iostream>
#include <map>
#include <set>
#include <thread>

namespace {

namespace po = boost::program_options;
using namespace bamboostile;

std::atomic<bool> g_stop = false;

class Platform
{
public:
  Platform(std::uint16_t aPort, std::map<std::string, std::string> aInstances)
    : m_instances(std::move(aInstances))
  {
    http::ServerOptions options;
    options.m_address = "127.0.0.1";
    options.m_port = aPort;
    m_server = std::make_unique<http::Server>(
      options, [this](const auto& aExchange) { Handle(*aExchange); });
  }

  bool Start(std::string& aReason) { return m_server->Start(aReason); }

private:
  void Handle(http::Exchange& aExchange)
  {
    const std::string prefix = "/v1/restart/";
    const std::string& target = aExchange.Incoming().m_target;
    const std::size_t query = target.find('?');
    http::Response response;
    const bool known =
      target.rfind(prefix, 0) == 0 &&
      m_instances.contains(target.substr(prefix.size(), query - prefix.size()));
    if (!known) {
      response.m_status = 404;
    } else if (m_done.insert(target).second) {
      http::Call call;
      call.m_address =
        m_instances.at(target.substr(prefix.size(), query - prefix.size()));
      call.m_method = "POST";
      call.m_target = "/fake/restart";
      call.m_timeout = Millis{ 2000 };
      m_client.Start(std::move(call), [](const http::CallResult&) {});
    }
    aExchange.Respond(std::move(response));
  }

  std::map<std::string, std::string> m_instances;
  std::set<std::string> m_done;
  http::Client m_client;
  std::unique_ptr<http::Server> m_server;
};

} // namespace

int
main(int aCount, char** aArguments)
{
  std::uint16_t port = 0;
  std::vector<std::string> instances;
  po::options_description known("fake_platform");
  known.add_options()("port", po::value(&port)->required())(
    "instance",
    po::value(&instances)->multitoken()->required(),
    "NAME=IP:PORT");
  try {
    po::variables_map values;
    po::store(po::parse_command_line(aCount, aArguments, known), values);
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
  std::map<std::string, std::string> addresses;
  for (const std::string& one : instances) {
    const std::size_t equals = one.find('=');
    addresses[one.substr(0, equals)] = one.substr(equals + 1);
  }
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGTERM, [](int) { g_stop = true; });
  Platform platform(port, addresses);
  std::string reason;
  if (!platform.Start(reason)) {
    std::cerr << reason << "\n";
    return 1;
  }
  while (!g_stop) {
    std::this_thread::sleep_for(std::chrono::milliseconds{ 20 });
  }
  return 0;
}
