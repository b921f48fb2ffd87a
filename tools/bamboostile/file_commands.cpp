#include "commands.h"
#include "output.h"
#include "review.h"

#include "bamboostile/schema/text.h"
#include "bamboostile/units/hash.h"

#include <capnp/compat/json.h>

#include <fstream>
#include <iostream>
#include <sstream>

namespace bamboostile::cli {

using Json = nlohmann::json;

namespace {

/** Parses a file of operator calls. On failure, aError names the file and what
 * is wrong with it. */
bool
ReadCalls(const std::string& aFile,
          capnp::MallocMessageBuilder& aMessage,
          std::string& aError)
{
  std::ifstream in(aFile);
  if (!in) {
    aError = aFile + ": cannot be read";
    return false;
  }
  std::ostringstream text;
  text << in.rdbuf();
  capnp::JsonCodec codec;
  codec.setRejectUnknownFields(true);
  const auto failure = kj::runCatchingExceptions([&]() {
    codec.decode(ToText(text.str()), aMessage.initRoot<schema::CallList>());
  });
  KJ_IF_MAYBE (exception, failure) {
    aError = aFile + ": " + exception->getDescription().cStr();
    return false;
  }
  return true;
}

/** Derives the operation id from the call and the revision it expects, so that
 * applying the file again after a lost answer runs no call twice. */
std::string
DerivedOperationId(schema::OperatorCall::Reader aCall, std::uint64_t aRevision)
{
  const capnp::JsonCodec codec;
  const kj::String text = codec.encode(aCall);
  return "file-" + HexOf(StableHash{}.Add(text.cStr()).Add(aRevision).Get());
}

} // namespace

ExitCode
RunDiff(const GlobalOptions& aOptions, const Arguments& aArguments)
{
  capnp::MallocMessageBuilder message;
  std::string error;
  if (aArguments.size() != 1) {
    return PrintInputError("diff: one FILE is needed");
  }
  if (!ReadCalls(aArguments.front(), message, error)) {
    return PrintInputError(error);
  }
  Reply failure;
  const auto status = FetchStatus(aOptions, failure);
  if (!status) {
    PrintReply(aOptions, "", "-", failure);
    return failure.m_exit;
  }
  Json diffs = Json::array();
  for (auto call : message.getRoot<schema::CallList>().getCalls()) {
    const CallDiff diff = DiffCall(call.asReader(), *status);
    diffs.push_back({ { "object", diff.m_object },
                      { "revision", diff.m_revision },
                      { "holds", diff.m_isApplied },
                      { "changes", diff.m_changes } });
    if (!aOptions.m_json) {
      std::cout << (diff.m_isApplied ? "  = " : "  ~ ") << diff.m_object
                << "\n";
      for (const std::string& change : diff.m_changes) {
        std::cout << "      " << change << "\n";
      }
    }
  }
  if (aOptions.m_json) {
    std::cout << diffs.dump() << "\n";
  }
  return ExitCode::kDone;
}

ExitCode
RunApply(const GlobalOptions& aOptions, const Arguments& aArguments)
{
  capnp::MallocMessageBuilder message;
  std::string error;
  if (aArguments.size() != 1) {
    return PrintInputError("apply: one FILE is needed");
  }
  if (!ReadCalls(aArguments.front(), message, error)) {
    return PrintInputError(error);
  }
  Session session(aOptions.m_control, aOptions.m_timeoutMs);
  for (auto call : message.getRoot<schema::CallList>().getCalls()) {
    Reply failure;
    const auto status = session.Status(failure);
    if (!status) {
      PrintReply(aOptions, "", "-", failure);
      return failure.m_exit;
    }
    const CallDiff diff = DiffCall(call.asReader(), *status);
    if (diff.m_isApplied) {
      continue;
    }
    if (!call.hasOperator()) {
      call.setOperator(ToText(aOptions.m_operator));
    }
    if (call.getExpectedRevision() == 0) {
      call.setExpectedRevision(diff.m_revision);
    }
    if (!call.hasOperationId()) {
      call.setOperationId(ToText(
        DerivedOperationId(call.asReader(), call.getExpectedRevision())));
    }
    const Reply reply = session.Submit(call.asReader());
    PrintReply(aOptions, diff.m_object, call.getOperationId().cStr(), reply);
    if (reply.m_exit != ExitCode::kDone) {
      return reply.m_exit;
    }
  }
  return ExitCode::kDone;
}

} // namespace bamboostile::cli
