// Serializes the status of a process to JSON.
#include <tamarackglade/node/process_status.hpp>
#include <tamarackglade/orders/order_kind_name.hpp>

#include <nlohmann/json.hpp>

namespace tamarack {

namespace {

using json = nlohmann::ordered_json;

const char *roleName(schema::vm_role role)
{
    switch (role) {
    case schema::vm_role::Entry:
        return "entry";
    case schema::vm_role::Side:
        return "side";
    case schema::vm_role::Control:
        return "control";
    }
    return "";
}

const char *stateName(schema::upstream_state state)
{
    switch (state) {
    case schema::upstream_state::Serving:
        return "serving";
    case schema::upstream_state::Leaving:
        return "leaving";
    case schema::upstream_state::Down:
        return "down";
    }
    return "";
}

json sideJson(const side_status &side)
{
    json object;
    object["vm"] = side.vm.value();
    object["group"] = side.report.group;
    object["state"] = stateName(side.report.state);
    object["model_version"] = side.report.model_version;
    object["online_active"] = side.report.online_active;
    object["batch_active"] = side.report.batch_active;
    object["queued"] = side.report.queued;
    return object;
}

json orderJson(const tracked_order &entry)
{
    json object;
    object["order_id"] = entry.order.id;
    object["fence"] = entry.order.fence.value();
    object["kind"] = orderKindName(entry.order.kind);
    object["argument"] = entry.order.argument;
    object["state"] = orderStateName(entry.state);
    object["message"] = entry.message;
    return object;
}

// The array is in order of fencing numbers: the last element is the latest order.
json ordersJson(const std::deque<tracked_order> &orders)
{
    auto array = json::array();
    for (const tracked_order &entry : orders)
        array.push_back(orderJson(entry));
    return array;
}

} // namespace

std::string process_status::toJson() const
{
    json object;
    object["vm"] = self.vm.value();
    object["role"] = roleName(self.role);
    object["incarnation"] = self.incarnation.value();
    object["zone"] = self.zone.value();
    object["config_offset"] = configOffset.value();
    object["manifest_offset"] = manifestOffset.value();
    object["serving"] = serving;
    object["draining"] = draining;
    object["partitions_owned"] = partitionsOwned;
    object["requests"] = requests;
    object["sides"] = json::array();
    for (const side_status &side : sides)
        object["sides"].push_back(sideJson(side));
    if (self.role == schema::vm_role::Side)
        object["orders"] = ordersJson(orders);
    return object.dump(2, ' ', false, json::error_handler_t::replace) + "\n";
}

} // namespace tamarack
