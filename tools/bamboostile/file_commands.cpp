#include "commands.h"
#include "output.h"
#include "review.h"

#include "bamboostile/units/hash.h"

#include <capnp/compat/json.h>

#include <fstream>
#include <iostream>
#include <sstream>

namespace bamboostile::cli {

using Json = nlohmann::json;

namespace {

/** Reads a file of calls; on failure says which call and which field. */
bool
ReadCalls(const std::string& aFile,
          capnp::MallocMessageBuilder& aMessage,
          std::string& aProblem)
{
  std::ifstream in(aFile);
  if (!in) {
    aProblem = aFile + ": cannot be read";
    return false;
  }
  std::ostringstream text;
  text << in.rdbuf();
  capnp::JsonCodec codec;
  codec.setRejectUnknownFields(true);
  const auto failure = kj::runCatchingExceptions([&]() {
    codec.decode(kj::StringPtr(text.str().c_str()),
                 aMessage.initRoot<schema::CallList>());
  });
  KJ_IF_MAYBE (exception, failure) {
    aProblem = aFile + ": " + exception->getDescription().cStr();
    return false;
  }
  return true;
}

/** The same call of the same file, meant for the same state, keeps its id:
 * running the file again after a lost answer does nothing twice. */
std::string
DerivedOperationId(schema::OperatorCall::Reader aCall, std::uint64_t aRevision)
{
  const capnp::JsonCodec codec;
  const kj::String text = codec.encode(aCall);
  return "file-" + HexOf(StableHash{}.Add(text.cStr()).Add(aRevision).Get());
}

} // namespace

ExitCode
RunDiff(const Common& aCommon, const Words& aWords)
{
  capnp::MallocMessageBuilder message;
  std::string problem;
  if (aWords.size() != 1) {
    return BadInput("diff: one FILE is needed");
  }
  if (!ReadCalls(aWords.front(), message, problem)) {
    return BadInput(problem);
  }
  Reply failure;
  const auto status = FetchStatus(aCommon, failure);
  if (!status) {
    Print(aCommon, "", "-", failure);
    return failure.m_exit;
  }
  Json shown = Json::array();
  for (auto call : message.getRoot<schema::CallList>().getCalls()) {
    const Review review = ReviewCall(call.asReader(), *status);
    shown.push_back({ { "object", review.m_object },
                      { "revision", review.m_revision },
                      { "holds", review.m_holds },
                      { "changes", review.m_changes } });
    if (!aCommon.m_json) {
      std::cout << (review.m_holds ? "  = " : "  ~ ") << review.m_object
                << "\n";
      for (const std::string& change : review.m_changes) {
        std::cout << "      " << change << "\n";
      }
    }
  }
  if (aCommon.m_json) {
    std::cout << shown.dump() << "\n";
  }
  return ExitCode::kDone;
}

ExitCode
RunApply(const Common& aCommon, const Words& aWords)
{
  capnp::MallocMessageBuilder message;
  std::string problem;
  if (aWords.size() != 1) {
    return BadInput("apply: one FILE is needed");
  }
  if (!ReadCalls(aWords.front(), message, problem)) {
    return BadInput(problem);
  }
  Session session(aCommon.m_control, aCommon.m_patienceMs);
  for (auto call : message.getRoot<schema::CallList>().getCalls()) {
    Reply failure;
    const auto status = session.Status(failure);
    if (!status) {
      Print(aCommon, "", "-", failure);
      return failure.m_exit;
    }
    const Review review = ReviewCall(call.asReader(), *status);
    if (review.m_holds) {
      continue;
    }
    if (!call.hasOperator()) {
      call.setOperator(aCommon.m_operator);
    }
    if (call.getExpectedRevision() == 0) {
      call.setExpectedRevision(review.m_revision);
    }
    if (!call.hasOperationId()) {
      call.setOperationId(
        DerivedOperationId(call.asReader(), call.getExpectedRevision()));
    }
    const Reply reply = session.Submit(call.asReader());
    Print(aCommon, review.m_object, call.getOperationId().cStr(), reply);
    if (reply.m_exit != ExitCode::kDone) {
      return reply.m_exit;
    }
  }
  return ExitCode::kDone;
}

} // namespace bamboostile::cli
