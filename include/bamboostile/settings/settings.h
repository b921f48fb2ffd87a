#pragma once

#include "bamboostile/placement/mechanisms.h"
#include "bamboostile/units/ids.h"
#include "bamboostile/units/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bamboostile::settings {

struct Address
{
  std::string m_host;
  std::uint16_t m_port = 0;

  std::string ToText() const;
  bool operator==(const Address&) const = default;
};

/** Reads "IP:port"; empty where it is none. */
std::optional<Address> ParseAddress(const std::string& aText);

struct Limits
{
  std::uint64_t m_bodyBytes = 1024 * 1024;
  std::uint64_t m_headerBytes = 16 * 1024;
  Millis m_readTimeout{ 10'000 };
  /** The longest deadline that a caller may ask for. */
  Millis m_maxTimeout{ 60'000 };
  std::uint32_t m_connections = 4096;
};

struct Trace
{
  std::optional<std::string> m_file;
  std::optional<std::string> m_url;
  double m_samplePercent = 100;
};

/** Where a hosting platform reaches this process, and where it is reached. */
struct Hosting
{
  /** Callers of queues, at an entry. */
  std::optional<Address> m_callers;
  std::optional<Address> m_readiness;
  /** Workers and the operator, at a control replica. */
  std::optional<Address> m_workers;
  /** The platform's own calls for instances. */
  std::optional<Address> m_instances;
  /** RPC port of every control replica; replaces those of the seeds. */
  std::optional<std::uint16_t> m_rpcPort;
  /** The whole system starts for the first time, on empty disks. */
  bool m_formGroup = false;
  /** Replicas that may be lost at the same time; decides how many vote. */
  std::uint32_t m_toleratedLosses = 1;
  /** Moves and maintenance orders that the platform takes from all replicas
   * together. */
  double m_ordersPerSecond = 64;
  /** Two leaders' orders for one instance must be so far apart. */
  Millis m_betweenLeaders{ 3000 };
  /** How long the platform takes to move an instance to another pool. */
  Millis m_moveTakes{ 1500 };
  /** How long the platform keeps an instance down for its maintenance. */
  Millis m_maintenanceTakes{ 2000 };
};

struct Settings;

/** The control replicas' addresses as RPC and logs take them. */
std::vector<std::string> SeedsOf(const Settings& aSettings);

struct Settings
{
  InstanceId m_instance;
  ZoneId m_zone;
  RackId m_rack;
  bool m_control = false;
  bool m_entry = false;
  std::vector<Address> m_controlSeeds;
  std::optional<Address> m_rpc;
  std::optional<Address> m_http;
  std::optional<Address> m_platform;
  std::optional<std::string> m_dataFolder;
  std::uint32_t m_snapshotEvery = 2000;
  placement::Mechanisms m_mechanisms;
  Limits m_limits;
  std::string m_logLevel = "info";
  std::optional<std::string> m_logFile;
  Trace m_trace;
  std::optional<Hosting> m_hosting;
};

/** What is wrong with a settings file: where, what was found, what may be. */
struct Problem
{
  std::string m_file;
  std::string m_field;
  std::string m_value;
  std::string m_allowed;
};

std::string ToText(const Problem& aProblem);

/** Reads and checks a file: against the JSON Schema, then for meaning. */
std::optional<Settings> Load(const std::string& aFile, Problem& aProblem);

/** The same for text at hand; aFile only names it in messages. */
std::optional<Settings> Parse(const std::string& aText,
                              const std::string& aFile,
                              Problem& aProblem);

} // namespace bamboostile::settings
