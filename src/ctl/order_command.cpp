// Implements the command order, which writes orders to the log and reads their state from the side.
#include <tamarackglade/ctl/append_batch.hpp>
#include <tamarackglade/ctl/ctl_failure.hpp>
#include <tamarackglade/ctl/exit_code.hpp>
#include <tamarackglade/ctl/fleet_status.hpp>
#include <tamarackglade/ctl/order_command.hpp>
#include <tamarackglade/ctl/read_stream.hpp>
#include <tamarackglade/membership/vm_list.hpp>
#include <tamarackglade/orders/order_fold.hpp>
#include <tamarackglade/orders/order_kind_name.hpp>
#include <tamarackglade/orders/order_state.hpp>
#include <tamarackglade/runtime/random_bytes.hpp>
#include <tamarackglade/runtime/steady_now.hpp>

#include <absl/strings/str_cat.h>
#include <boost/fiber/operations.hpp>
#include <gflags/gflags.h>

#include <algorithm>
#include <chrono>

DECLARE_bool(wait);
DECLARE_double(timeout);

namespace tamarack {

namespace {

constexpr std::chrono::milliseconds PollInterval{250};
constexpr std::string_view Usage =
    "order VM load-model|load-adapter|load-version|change-role ARGUMENT [--wait]";

/// @brief An order that is stored in the log, with the offset of its first copy.
struct stored_order
{
    std::string vm;
    std::string id;
    log_offset offset;
};

absl::Status checkVm(platform_client &platform, const std::string &vm)
{
    const auto text = platform.vmListText();
    if (!text.ok())
        return text.status();
    const auto list = parseVmList(*text);
    if (!list.ok())
        return list.status();
    const auto found = std::find_if(list->begin(), list->end(), [&](const listed_vm &listed) {
        return listed.vm.value() == vm;
    });
    if (found == list->end())
        return absl::InvalidArgumentError(absl::StrCat("no VM '", vm, "' on the VM list"));
    if (found->role != vm_role::Side)
        return absl::InvalidArgumentError(absl::StrCat("VM '", vm, "' is not the VM of a side"));
    return absl::OkStatus();
}

// An append that is retried after a lost answer can store the order more than once. Only the first
// copy is applied.
absl::StatusOr<log_offset> firstOffset(platform_client &platform, const std::string &orderId)
{
    std::optional<log_offset> first;
    order_fold fold;
    const auto read =
        readStream(platform, std::string(OrdersStream), log_offset(1), [&](const log_entry &entry) {
            const auto folded = fold.apply(entry);
            if (folded && folded->order.id == orderId)
                first = entry.offset;
        });
    if (!read.ok())
        return absl::UnknownError(read.status().message());
    if (!first)
        return absl::UnknownError("the order is not in the log");
    return *first;
}

absl::StatusOr<stored_order> storeOrder(ctl_context &context, schema::order_kind kind)
{
    schema::upstream_ordered_message record;
    record.vm = context.arguments[0];
    record.order_id = randomId("order_");
    record.kind = kind;
    record.argument = context.arguments[2];
    record.written_at_s = wallSeconds();
    schema::log_batch_message batch;
    batch.record_id = record.order_id;
    batch.written_at_s = record.written_at_s;
    addRecord(batch, record);
    const auto stored = appendBatch(context.platform, std::string(OrdersStream), batch);
    if (!stored.ok())
        return stored.status();
    const auto offset = firstOffset(context.platform, record.order_id);
    if (!offset.ok())
        return offset.status();
    return stored_order{record.vm, record.order_id, *offset};
}

// Returns the order's entry in the status of its side; null if the side has no such order or can't
// be reached.
nlohmann::ordered_json requestOrderStatus(ctl_context &context, const stored_order &order)
{
    const auto rows = requestFleetStatus(context);
    if (!rows.ok())
        return nullptr;
    for (const vm_status &row : *rows) {
        if (row.listed.vm.value() != order.vm || !row.isReached() || !row.answer.contains("orders"))
            continue;
        for (const auto &entry : row.answer["orders"]) {
            if (entry.value("order_id", "") == order.id)
                return entry;
        }
    }
    return nullptr;
}

bool isSettled(const nlohmann::ordered_json &entry)
{
    const std::string state = entry.is_object() ? entry.value("state", "") : "";
    return state == orderStateName(order_state::Done)
           || state == orderStateName(order_state::Refused)
           || state == orderStateName(order_state::Superseded);
}

int orderExitCode(const std::string &state)
{
    if (state == orderStateName(order_state::Done))
        return ExitDone;
    return state == orderStateName(order_state::Refused) ? ExitRefused : ExitLost;
}

void report(ctl_context &context, const stored_order &order, const std::string &state,
            const std::string &message)
{
    nlohmann::ordered_json object;
    object["vm"] = order.vm;
    object["order_id"] = order.id;
    object["fence"] = order.offset.value();
    object["state"] = state;
    object["message"] = message;
    const std::string reason = message.empty() ? "" : absl::StrCat(" (", message, ")");
    context.output.result(object, absl::StrCat("order ", order.id, " to ", order.vm, " with fence ",
                                               order.offset.value(), ": ", state, reason));
}

int waitUntilSettled(ctl_context &context, const stored_order &order)
{
    const auto deadline =
        std::chrono::steady_clock::now() + std::chrono::duration<double>(FLAGS_timeout);
    for (;;) {
        const auto entry = requestOrderStatus(context, order);
        if (isSettled(entry)) {
            report(context, order, entry.value("state", ""), entry.value("message", ""));
            return orderExitCode(entry.value("state", ""));
        }
        if (std::chrono::steady_clock::now() >= deadline) {
            const std::string state = entry.is_object() ? entry.value("state", "") : "not known";
            report(context, order, state, entry.is_object() ? entry.value("message", "") : "");
            context.output.error(absl::StrCat("timeout: the order stays in the log, state ", state,
                                              " at ", order.vm));
            return ExitTimeout;
        }
        boost::this_fiber::sleep_for(PollInterval);
    }
}

int printNotStored(ctl_context &context, const absl::Status &status)
{
    if (!absl::IsUnknown(status))
        context.output.error("nothing was ordered: the log did not store the order");
    return printFailure(context, status);
}

} // namespace

int runOrder(ctl_context &context)
{
    if (context.arguments.size() != 3 || context.arguments[2].empty())
        return printUsageError(context, std::string(Usage));
    const auto kind = parseOrderKind(context.arguments[1]);
    if (!kind) {
        context.output.error(absl::StrCat("unknown kind of order '", context.arguments[1],
                                          "', expected one of ", allOrderKinds()));
        return ExitUsage;
    }
    if (FLAGS_wait && context.fleetSecret.empty())
        return printFailure(
            context, absl::FailedPreconditionError("--fleet_secret_file is required by --wait"));
    const absl::Status vm = checkVm(context.platform, context.arguments[0]);
    if (absl::IsInvalidArgument(vm)) {
        context.output.error(std::string(vm.message()));
        return ExitUsage;
    }
    if (!vm.ok())
        return printFailure(context, vm);
    const auto order = storeOrder(context, *kind);
    if (!order.ok())
        return printNotStored(context, order.status());
    if (FLAGS_wait)
        return waitUntilSettled(context, *order);
    report(context, *order, "written", "");
    return ExitDone;
}

} // namespace tamarack
