// Implements the commands check, publish, key and drain.
#include <tamarackglade/config/parse_manifest.hpp>
#include <tamarackglade/ctl/config_commands.hpp>
#include <tamarackglade/ctl/config_reader.hpp>
#include <tamarackglade/ctl/ctl_failure.hpp>
#include <tamarackglade/ctl/exit_code.hpp>
#include <tamarackglade/ctl/fleet_commands.hpp>
#include <tamarackglade/keys/issued_key.hpp>
#include <tamarackglade/keys/key_format.hpp>
#include <tamarackglade/runtime/random_bytes.hpp>

#include <absl/strings/str_cat.h>
#include <absl/strings/strip.h>
#include <gflags/gflags.h>

#include <fstream>
#include <sstream>

DEFINE_int64(base, -1,
             "publish: offset of the manifest that the file is based on; -1 for the "
             "one in force");
DEFINE_bool(wait, false,
            "drain: wait until the VM is drained; order: wait until the order is settled");
DEFINE_string(operator_name, "operator",
              "publish: name of the operator, shown to operators whose publish it supersedes");

namespace tamarack {

namespace {

absl::StatusOr<std::string> readFile(const std::string &path)
{
    const std::ifstream file(path);
    if (!file)
        return absl::NotFoundError(absl::StrCat(path, ": can't be read"));
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

// Returns "FILE:LINE: [section] key: found X, expected Y", without LINE for a fault of the whole
// file.
std::string faultText(const std::string &path, manifest_fault fault)
{
    const std::string line = fault.line == 0 ? "" : absl::StrCat(":", fault.line);
    fault.line = 0;
    return absl::StrCat(path, line, ": ",
                        std::string(absl::StripPrefix(fault.toString(), "manifest: ")));
}

nlohmann::ordered_json faultJson(const std::string &path, const manifest_fault &fault)
{
    nlohmann::ordered_json object;
    object["file"] = path;
    object["line"] = fault.line;
    object["section"] = fault.section;
    object["key"] = fault.key;
    object["found"] = fault.found;
    object["expected"] = fault.expected;
    return object;
}

// Prints every fault; returns true if there are none.
bool reportFaults(ctl_context &context, const std::string &path, const manifest_result &result)
{
    auto faults = nlohmann::ordered_json::array();
    for (const manifest_fault &fault : result.faults) {
        context.output.error(faultText(path, fault));
        faults.push_back(faultJson(path, fault));
    }
    if (!result.ok() && context.output.isJson())
        context.output.result({{"faults", faults}}, "");
    return result.ok();
}

template <class Message>
schema::log_batch_message makeBatch(const Message &record)
{
    schema::log_batch_message batch;
    batch.record_id = randomId("ctl_");
    addRecord(batch, record);
    return batch;
}

std::string verdictText(const publish_verdict &verdict)
{
    switch (verdict.outcome) {
    case publish_outcome::Accepted:
        return absl::StrCat("accepted at offset ", verdict.offset.value());
    case publish_outcome::Lost:
        return absl::StrCat("not accepted: the publish of '", verdict.inForceOperator,
                            "' at offset ", verdict.inForce.value(), " won");
    case publish_outcome::Invalid:
        return "not accepted: the manifest has faults";
    }
    return {};
}

const char *verdictName(publish_outcome outcome)
{
    switch (outcome) {
    case publish_outcome::Accepted:
        return "accepted";
    case publish_outcome::Lost:
        return "lost";
    case publish_outcome::Invalid:
        return "invalid";
    }
    return "";
}

int reportVerdict(ctl_context &context, const publish_verdict *verdict)
{
    if (verdict == nullptr) {
        context.output.error("the result of the publish is no longer in the log");
        return ExitUnknown;
    }
    nlohmann::ordered_json object;
    object["outcome"] = verdictName(verdict->outcome);
    object["offset"] = verdict->offset.value();
    object["in_force"] = verdict->inForce.value();
    object["in_force_operator"] = verdict->inForceOperator;
    context.output.result(object, verdictText(*verdict));
    return verdict->outcome == publish_outcome::Accepted ? ExitDone : ExitLost;
}

int issueKeyFor(ctl_context &context, const std::string &customer)
{
    const auto fold = readConfig(context.platform);
    if (!fold.ok())
        return printFailure(context, fold.status());
    const auto state = fold->state();
    if (!state->inForce || state->inForce->customer(customer_id(customer)) == nullptr) {
        context.output.error(absl::StrCat("no customer '", customer, "' in the manifest in force"));
        return ExitUsage;
    }
    const auto key = issueKey();
    if (!key.ok())
        return printFailure(context, key.status());
    schema::key_issued_message record;
    record.key_id = key->id.value();
    record.customer = customer;
    record.hash.assign(key->hash.begin(), key->hash.end());
    const auto stored = appendConfig(context.platform, makeBatch(record));
    if (!stored.ok())
        return printFailure(context, stored.status());
    nlohmann::ordered_json object;
    object["key_id"] = key->id.value();
    object["key"] = key->secretText;
    object["offset"] = stored->value();
    context.output.result(object, absl::StrCat("key ", key->id.value(), " of ", customer,
                                               ", shown only now:\n", key->secretText));
    return ExitDone;
}

// An id that isn't known may be one whose issue is still under way, so its withdrawal is stored
// too.
int withdrawKey(ctl_context &context, const std::string &id)
{
    if (!isKeyId(id)) {
        context.output.error(
            absl::StrCat("'", redactKeys(id), "' is no key id; 'key list' shows them"));
        return ExitUsage;
    }
    schema::key_withdrawn_message record;
    record.key_id = id;
    const auto stored = appendConfig(context.platform, makeBatch(record));
    if (!stored.ok())
        return printFailure(context, stored.status());
    nlohmann::ordered_json object;
    object["key_id"] = id;
    object["offset"] = stored->value();
    context.output.result(object,
                          absl::StrCat("key ", id, " withdrawn at offset ", stored->value()));
    return ExitDone;
}

int listKeys(ctl_context &context)
{
    const auto fold = readConfig(context.platform);
    if (!fold.ok())
        return printFailure(context, fold.status());
    std::vector<std::vector<std::string>> rows;
    for (const auto &[id, entry] : fold->state()->keys.entries())
        rows.push_back({id.value(), entry.customer.value()});
    context.output.table({"key_id", "customer"}, rows);
    return ExitDone;
}

} // namespace

int runCheck(ctl_context &context)
{
    if (context.arguments.size() != 1)
        return printUsageError(context, "check FILE");
    const auto text = readFile(context.arguments[0]);
    if (!text.ok()) {
        context.output.error(std::string(text.status().message()));
        return ExitUsage;
    }
    const manifest_result result = parseManifest(*text);
    if (!reportFaults(context, context.arguments[0], result))
        return ExitUsage;
    nlohmann::ordered_json object;
    object["models"] = result.parsed->models.size();
    object["customers"] = result.parsed->customers.size();
    context.output.result(object, "no faults");
    return ExitDone;
}

int runPublish(ctl_context &context)
{
    if (context.arguments.size() != 1)
        return printUsageError(context, "publish FILE [--base=OFFSET]");
    const auto text = readFile(context.arguments[0]);
    if (!text.ok()) {
        context.output.error(std::string(text.status().message()));
        return ExitUsage;
    }
    if (!reportFaults(context, context.arguments[0], parseManifest(*text)))
        return ExitUsage;
    const auto before = readConfig(context.platform);
    if (!before.ok())
        return printFailure(context, before.status());
    schema::manifest_published_message record;
    record.base_offset =
        FLAGS_base >= 0 ? static_cast<std::uint64_t>(FLAGS_base) : before->manifestOffset().value();
    record.text = *text;
    record.operator_name = FLAGS_operator_name;
    const schema::log_batch_message batch = makeBatch(record);
    const auto stored = appendConfig(context.platform, batch);
    if (!stored.ok())
        return printFailure(context, stored.status());
    const auto after = readConfig(context.platform);
    if (!after.ok())
        return printFailure(context, absl::UnknownError(after.status().message()));
    return reportVerdict(context, after->verdictOf(batch.record_id));
}

int runKey(ctl_context &context)
{
    const auto &arguments = context.arguments;
    if (arguments.size() == 2 && arguments[0] == "issue")
        return issueKeyFor(context, arguments[1]);
    if (arguments.size() == 2 && arguments[0] == "withdraw")
        return withdrawKey(context, arguments[1]);
    if (arguments.size() == 1 && arguments[0] == "list")
        return listKeys(context);
    return printUsageError(context, "key issue CUSTOMER | key withdraw ID | key list");
}

int runDrain(ctl_context &context)
{
    if (context.arguments.size() != 1)
        return printUsageError(context, "drain VM [--wait] [--timeout=SECONDS]");
    schema::vm_drained_message record;
    record.vm = context.arguments[0];
    const auto stored = appendConfig(context.platform, makeBatch(record));
    if (!stored.ok())
        return printFailure(context, stored.status());
    if (FLAGS_wait) {
        const int code = waitUntilDrained(context, record.vm, *stored);
        if (code != ExitDone)
            return code;
    }
    nlohmann::ordered_json object;
    object["vm"] = record.vm;
    object["offset"] = stored->value();
    object["drained"] = FLAGS_wait;
    context.output.result(object,
                          absl::StrCat(record.vm, FLAGS_wait ? " is drained" : " is draining",
                                       " since offset ", stored->value()));
    return ExitDone;
}

} // namespace tamarack
