#include "announcement_json.h"

#include "bamboostile/json/fields.h"
#include "bamboostile/settings/settings.h"

#include <nlohmann/json.hpp>

#include <tuple>

namespace bamboostile::entry::internal {

namespace {

using Json = nlohmann::json;

constexpr std::uint64_t kMaxCount = 1'000'000'000;
constexpr std::size_t kMaxIdLength = 128;

/** Reads fields of a JSON object and keeps the first problem found. */
class Reader
{
public:
  Reader(const Json& aJson, FieldProblem& aProblem)
    : m_json(aJson)
    , m_problem(aProblem)
  {
  }

  std::string Text(const char* aField, bool aRequired)
  {
    if (!m_json.contains(aField)) {
      if (aRequired) {
        ReportInvalid(aField, "a text of 1 to 128 characters; it is missing");
      }
      return {};
    }
    const Json& value = m_json[aField];
    const bool isValid =
      value.is_string() && !value.get_ref<const std::string&>().empty() &&
      value.get_ref<const std::string&>().size() <= kMaxIdLength;
    if (!isValid) {
      ReportInvalid(aField, "a text of 1 to 128 characters");
      return {};
    }
    return value.get<std::string>();
  }

  std::uint64_t Number(const char* aField,
                       std::uint64_t aMinimum,
                       std::uint64_t aMaximum,
                       std::optional<std::uint64_t> aDefault)
  {
    if (!m_json.contains(aField) && aDefault) {
      return *aDefault;
    }
    const bool isValid = m_json.contains(aField) &&
                         m_json[aField].is_number_unsigned() &&
                         m_json[aField].get<std::uint64_t>() >= aMinimum &&
                         m_json[aField].get<std::uint64_t>() <= aMaximum;
    if (!isValid) {
      ReportInvalid(aField,
                    "a whole number from " + std::to_string(aMinimum) + " to " +
                      std::to_string(aMaximum));
      return aMinimum;
    }
    return m_json[aField].get<std::uint64_t>();
  }

  std::uint32_t Count(const char* aField, std::uint64_t aMinimum)
  {
    return static_cast<std::uint32_t>(
      Number(aField, aMinimum, kMaxCount, aMinimum));
  }

  void ReportInvalid(std::string aField, std::string aAllowed)
  {
    if (m_problem.m_field.empty()) {
      m_problem = { std::move(aField), std::move(aAllowed) };
    }
  }

private:
  const Json& m_json;
  FieldProblem& m_problem;
};

} // namespace

std::optional<fleet::Announcement>
ParseAnnouncement(const InstanceId& aId,
                  const std::string& aBody,
                  FieldProblem& aProblem)
{
  const Json json = json::ParseUntrusted(aBody);
  if (!json.is_object()) {
    aProblem = { "(body)", "a JSON object" };
    return std::nullopt;
  }
  Reader reader(json, aProblem);
  fleet::Announcement announcement;
  announcement.m_id = aId;
  announcement.m_incarnation = Incarnation{ reader.Number(
    "incarnation", 1, std::numeric_limits<std::uint64_t>::max(), {}) };
  announcement.m_sequence =
    reader.Number("sequence", 0, std::numeric_limits<std::uint64_t>::max(), 0);
  announcement.m_service = ServiceId{ reader.Text("service", true) };
  const std::string pool = reader.Text("pool", false);
  if (!pool.empty()) {
    announcement.m_pool = PoolId{ pool };
  }
  announcement.m_zone = ZoneId{ reader.Text("zone", true) };
  announcement.m_rack = RackId{ reader.Text("rack", true) };
  announcement.m_address = reader.Text("address", true);
  if (!settings::ParseAddress(announcement.m_address)) {
    reader.ReportInvalid("address", "an IP address and a port");
  }
  announcement.m_slots = reader.Count("slots", 1);
  announcement.m_connections = reader.Count("connections", 1);
  announcement.m_cores = reader.Count("cores", 0);
  announcement.m_memoryMb = reader.Count("memoryMb", 0);
  announcement.m_accelerators = reader.Count("accelerators", 0);
  const std::string state =
    json.contains("state") ? reader.Text("state", true) : std::string{ "up" };
  if (state == "leaving") {
    announcement.m_state = fleet::InstanceState::kLeaving;
  } else if (state != "up") {
    reader.ReportInvalid("state", "up or leaving");
  }
  if (!aProblem.m_field.empty()) {
    return std::nullopt;
  }
  return announcement;
}

bool
EqualsExceptSequence(const fleet::Announcement& aLeft,
                     const fleet::Announcement& aRight)
{
  const auto fields = [](const fleet::Announcement& aAnnouncement) {
    return std::tie(aAnnouncement.m_id,
                    aAnnouncement.m_incarnation,
                    aAnnouncement.m_service,
                    aAnnouncement.m_pool,
                    aAnnouncement.m_zone,
                    aAnnouncement.m_rack,
                    aAnnouncement.m_address,
                    aAnnouncement.m_slots,
                    aAnnouncement.m_connections,
                    aAnnouncement.m_cores,
                    aAnnouncement.m_memoryMb,
                    aAnnouncement.m_accelerators,
                    aAnnouncement.m_state);
  };
  return fields(aLeft) == fields(aRight);
}

} // namespace bamboostile::entry::internal
