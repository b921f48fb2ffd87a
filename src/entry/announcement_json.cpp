#include "announcement_json.h"

#include "bamboostile/settings/settings.h"

#include <nlohmann/json.hpp>

#include <tuple>

namespace bamboostile::entry::internal {

namespace {

using Json = nlohmann::json;

constexpr std::uint64_t kMaxCount = 1'000'000'000;
constexpr std::size_t kMaxIdLength = 128;

/** Takes fields out of a JSON object and keeps the first problem. */
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
        Complain(aField, "a text of 1 to 128 characters; it is missing");
      }
      return {};
    }
    const Json& value = m_json[aField];
    const bool sound =
      value.is_string() && !value.get_ref<const std::string&>().empty() &&
      value.get_ref<const std::string&>().size() <= kMaxIdLength;
    if (!sound) {
      Complain(aField, "a text of 1 to 128 characters");
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
    const bool sound = m_json.contains(aField) &&
                       m_json[aField].is_number_unsigned() &&
                       m_json[aField].get<std::uint64_t>() >= aMinimum &&
                       m_json[aField].get<std::uint64_t>() <= aMaximum;
    if (!sound) {
      Complain(aField,
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

  void Complain(std::string aField, std::string aAllowed)
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
  const Json json = Json::parse(aBody, nullptr, false);
  if (!json.is_object()) {
    aProblem = { "(body)", "a JSON object" };
    return std::nullopt;
  }
  Reader reader(json, aProblem);
  fleet::Announcement said;
  said.m_id = aId;
  said.m_incarnation = Incarnation{ reader.Number(
    "incarnation", 1, std::numeric_limits<std::uint64_t>::max(), {}) };
  said.m_sequence =
    reader.Number("sequence", 0, std::numeric_limits<std::uint64_t>::max(), 0);
  said.m_service = ServiceId{ reader.Text("service", true) };
  const std::string pool = reader.Text("pool", false);
  if (!pool.empty()) {
    said.m_pool = PoolId{ pool };
  }
  said.m_zone = ZoneId{ reader.Text("zone", true) };
  said.m_rack = RackId{ reader.Text("rack", true) };
  said.m_address = reader.Text("address", true);
  if (!settings::ParseAddress(said.m_address)) {
    reader.Complain("address", "an IP address and a port");
  }
  said.m_slots = reader.Count("slots", 1);
  said.m_connections = reader.Count("connections", 1);
  said.m_cores = reader.Count("cores", 0);
  said.m_memoryMb = reader.Count("memoryMb", 0);
  said.m_accelerators = reader.Count("accelerators", 0);
  const std::string state =
    json.contains("state") ? reader.Text("state", true) : std::string{ "up" };
  if (state == "leaving") {
    said.m_state = fleet::InstanceState::kLeaving;
  } else if (state != "up") {
    reader.Complain("state", "up or leaving");
  }
  if (!aProblem.m_field.empty()) {
    return std::nullopt;
  }
  return said;
}

bool
SaysTheSame(const fleet::Announcement& aLeft, const fleet::Announcement& aRight)
{
  const auto fields = [](const fleet::Announcement& aOne) {
    return std::tie(aOne.m_id,
                    aOne.m_incarnation,
                    aOne.m_service,
                    aOne.m_pool,
                    aOne.m_zone,
                    aOne.m_rack,
                    aOne.m_address,
                    aOne.m_slots,
                    aOne.m_connections,
                    aOne.m_cores,
                    aOne.m_memoryMb,
                    aOne.m_accelerators,
                    aOne.m_state);
  };
  return fields(aLeft) == fields(aRight);
}

} // namespace bamboostile::entry::internal
