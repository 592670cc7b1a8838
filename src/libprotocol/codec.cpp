#include "codec.h"

#include "memberreader.h"

#include "libjson/json.h"

#include <nlohmann/json.hpp>

#include <array>

namespace cowslippin {

namespace {

using nlohmann::json;

/// Holds the position of the message's type in `Message`.
constexpr char typeMember[] = "type";

/// The transport limits the size of messages. They contain a list of payloads;
/// the rest of the depth is for later versions.
constexpr ParseLimits messageLimits{ std::size_t(128) << 20, 8, 1'000'000 };

json
binary(const std::string& bytes)
{
  return json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

json
toJson(const Hello& hello)
{
  return { { "version", protocolVersion },
           { "vm", hello.vm().value() },
           { "incarnation", hello.incarnation().value() },
           { "zone", hello.zone().value() },
           { "configOffset", hello.configOffset() } };
}

json
toJson(const Heartbeat& heartbeat)
{
  return { { "sequence", heartbeat.sequence() },
           { "configOffset", heartbeat.configOffset() },
           { "load", heartbeat.load() } };
}

json
toJson(const HeartbeatReply& reply)
{
  return { { "sequence", reply.sequence() },
           { "configOffset", reply.configOffset() },
           { "load", reply.load() } };
}

json
toJson(const OwnerCall& call)
{
  return { { "requestId", call.requestId() },
           { "operation", static_cast<unsigned>(call.operation()) },
           { "key", call.key().value() },
           { "claimOffset", call.claimOffset() },
           { "waitMs", call.waitMs() } };
}

json
toJson(const OwnerReply& reply)
{
  return { { "requestId", reply.requestId() },
           { "result", static_cast<unsigned>(reply.result()) },
           { "status", reply.status() },
           { "contentType", reply.contentType() },
           { "body", binary(reply.body()) },
           { "retryAfterMs", reply.retryAfterMs() },
           { "ran", reply.ran() },
           { "location", reply.location() } };
}

json
toJson(const ConfigRequest& request)
{
  return { { "haveOffset", request.haveOffset() } };
}

json
toJson(const ConfigTransfer& transfer)
{
  return { { "offset", transfer.offset() },
           { "body", binary(transfer.body()) } };
}

json
toJson(const SubmitCall& call)
{
  json payloads = json::array();
  for (const std::string& payload : call.payloads())
    payloads.push_back(binary(payload));
  return { { "requestId", call.requestId() },
           { "key", call.key().value() },
           { "organisation", call.organisation().value() },
           { "template", call.templateName().value() },
           { "isJob", call.isJob() },
           { "isRepeatable", call.isRepeatable() },
           { "waitsForEnd", call.waitsForEnd() },
           { "waitMs", call.waitMs() },
           { "fingerprint", call.fingerprint() },
           { "contentType", call.contentType() },
           { "payloads", std::move(payloads) } };
}

json
toJson(const ClaimAppend& append)
{
  return { { "batch", binary(append.batch()) } };
}

Message
readHello(MemberReader& reader)
{
  const auto version = reader.number<std::uint64_t>("version");
  if (version != protocolVersion)
    reader.fail(Problem::invalidField(
      "version", std::to_string(version), std::to_string(protocolVersion)));
  Hello::Fields fields;
  fields.vm = reader.nonEmptyName<VmId>("vm");
  fields.incarnation = reader.nonEmptyName<Incarnation>("incarnation");
  fields.zone = reader.name<ZoneName>("zone");
  fields.configOffset = reader.number<Offset>("configOffset");
  return Hello(std::move(fields));
}

Message
readHeartbeat(MemberReader& reader)
{
  Heartbeat::Fields fields;
  fields.sequence = reader.number<std::uint64_t>("sequence");
  fields.configOffset = reader.number<Offset>("configOffset");
  fields.load = reader.number<std::uint32_t>("load");
  return Heartbeat(fields);
}

Message
readHeartbeatReply(MemberReader& reader)
{
  HeartbeatReply::Fields fields;
  fields.sequence = reader.number<std::uint64_t>("sequence");
  fields.configOffset = reader.number<Offset>("configOffset");
  fields.load = reader.number<std::uint32_t>("load");
  return HeartbeatReply(fields);
}

Message
readOwnerCall(MemberReader& reader)
{
  OwnerCall::Fields fields;
  fields.requestId = reader.number<std::uint64_t>("requestId");
  fields.operation = reader.enumerator("operation", OwnerOperation::Know);
  fields.key = reader.nonEmptyName<SubmissionKey>("key");
  fields.claimOffset = reader.number<Offset>("claimOffset");
  fields.waitMs = reader.number<std::uint32_t>("waitMs");
  return OwnerCall(std::move(fields));
}

Message
readOwnerReply(MemberReader& reader)
{
  OwnerReply::Fields fields;
  fields.requestId = reader.number<std::uint64_t>("requestId");
  fields.result = reader.enumerator("result", OwnerResult::Unknown);
  fields.status = reader.number<std::uint16_t>("status");
  fields.contentType = reader.text("contentType");
  fields.body = reader.bytes("body");
  fields.retryAfterMs = reader.number<std::uint32_t>("retryAfterMs");
  fields.ran = reader.text("ran");
  fields.location = reader.text("location");
  return OwnerReply(std::move(fields));
}

Message
readConfigRequest(MemberReader& reader)
{
  ConfigRequest::Fields fields;
  fields.haveOffset = reader.number<Offset>("haveOffset");
  return ConfigRequest(fields);
}

Message
readConfigTransfer(MemberReader& reader)
{
  ConfigTransfer::Fields fields;
  fields.offset = reader.number<Offset>("offset");
  fields.body = reader.bytes("body");
  return ConfigTransfer(std::move(fields));
}

Message
readSubmitCall(MemberReader& reader)
{
  SubmitCall::Fields fields;
  fields.requestId = reader.number<std::uint64_t>("requestId");
  fields.key = reader.nonEmptyName<SubmissionKey>("key");
  fields.organisation = reader.nonEmptyName<OrganisationName>("organisation");
  fields.templateName = reader.nonEmptyName<TemplateName>("template");
  fields.isJob = reader.flag("isJob");
  fields.isRepeatable = reader.flag("isRepeatable");
  fields.waitsForEnd = reader.flag("waitsForEnd");
  fields.waitMs = reader.number<std::uint32_t>("waitMs");
  fields.fingerprint = reader.number<std::uint64_t>("fingerprint");
  fields.contentType = reader.text("contentType");
  fields.payloads = reader.byteStrings("payloads");
  return SubmitCall(std::move(fields));
}

Message
readClaimAppend(MemberReader& reader)
{
  ClaimAppend::Fields fields;
  fields.batch = reader.bytes("batch");
  return ClaimAppend(std::move(fields));
}

using ReadMessage = Message (*)(MemberReader&);

/// In the order of the types in `Message`.
constexpr std::array<ReadMessage, std::variant_size_v<Message>> readers{
  readHello,          readHeartbeat,  readHeartbeatReply,
  readOwnerCall,      readOwnerReply, readConfigRequest,
  readConfigTransfer, readSubmitCall, readClaimAppend,
};

Result<Message>
readMessage(const json& document)
{
  MemberReader reader(document);
  const auto type = reader.number<std::uint64_t>(typeMember);
  if (reader.problem())
    return failure(*reader.problem());
  if (type >= readers.size())
    return failure(
      Problem::invalidField(typeMember,
                            std::to_string(type),
                            "0 to " + std::to_string(readers.size() - 1)));
  Message message = readers[type](reader);
  if (reader.problem())
    return failure(*reader.problem());
  return message;
}

} // namespace

std::vector<std::uint8_t>
encode(const Message& message)
{
  json document =
    std::visit([](const auto& typed) { return toJson(typed); }, message);
  document[typeMember] = message.index();
  return writeCbor(document);
}

Result<Message>
decode(const std::uint8_t* data, std::size_t size)
{
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  const auto document = parseCbor(bytes, "message", messageLimits);
  if (!document)
    return failure(document.error());
  return readMessage(*document);
}

} // namespace cowslippin
