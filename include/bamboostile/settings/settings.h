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

/** Parses "IP:port"; returns nothing if the text is invalid. */
std::optional<Address> ParseAddress(const std::string& aText);

struct Limits
{
  std::uint64_t m_bodyBytes = 1024 * 1024;
  std::uint64_t m_headerBytes = 16 * 1024;
  Millis m_readTimeout{ 10'000 };
  /** Longest timeout that a caller may request. */
  Millis m_maxTimeout{ 60'000 };
  std::uint32_t m_connections = 4096;
  /** Time within which a request's head must have arrived. */
  Millis m_headTimeout{ 5'000 };
};

struct Trace
{
  std::optional<std::string> m_file;
  std::optional<std::string> m_url;
  double m_samplePercent = 100;
};

/** Addresses, limits and timings for running on a hosting platform. */
struct Hosting
{
  /** Address of an entry for callers of queues. */
  std::optional<Address> m_callers;
  std::optional<Address> m_readiness;
  /** Address of a control replica for workers and the operator. */
  std::optional<Address> m_workers;
  /** Address of the platform's API for instances. */
  std::optional<Address> m_instances;
  /** RPC port of every control replica; replaces the ports of the seeds. */
  std::optional<std::uint16_t> m_rpcPort;
  /** Forms a new control group; set for the first start, on empty disks. */
  bool m_formGroup = false;
  /** Replicas that may be lost at the same time; determines the number of
   * voters. */
  std::uint32_t m_toleratedLosses = 1;
  /** Moves and maintenance orders per second that the platform accepts from all
   * replicas together. */
  double m_ordersPerSecond = 64;
  /** Minimum time between orders of two leaders for one instance. */
  Millis m_handoverDelay{ 3000 };
  /** Time the platform needs to move an instance to another pool. */
  Millis m_moveDuration{ 1500 };
  /** Time for which maintenance by the platform keeps an instance down. */
  Millis m_expectedDowntime{ 2000 };
  /** Memory that this process may use, in MiB; 0 for no limit. */
  std::uint32_t m_memoryMb = 0;
  /** Descriptors that this process may open, if the system's limit is higher; 0
   * for the system's limit. */
  std::uint32_t m_maxDescriptors = 0;
};

struct Settings;

/** Returns the control replicas' addresses as "IP:port". */
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

/** Describes an invalid settings file: the field, its value and the allowed
 * values. */
struct ValidationError
{
  std::string m_file;
  std::string m_field;
  std::string m_value;
  std::string m_allowed;
};

std::string ToText(const ValidationError& aError);

/** Reads a file and validates it against the JSON Schema, then for consistency.
 */
std::optional<Settings> Load(const std::string& aFile, ValidationError& aError);

/** Validates settings text like Load(); aFile is only used in messages. */
std::optional<Settings> Parse(const std::string& aText,
                              const std::string& aFile,
                              ValidationError& aError);

} // namespace bamboostile::settings
