// Checks of how a manifest's sections refer to each other.
#include <tamarackglade/config/format_duration.hpp>
#include <tamarackglade/config/manifest_builder.hpp>
#include <tamarackglade/ini/text.hpp>

#include <algorithm>

namespace tamarack {

namespace {

// Path of the model API, which no route may take.
constexpr std::string_view ModelApiPrefix = "/v1";
constexpr std::string_view PathCharacters =
    "/-_.~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz";

bool isPathPrefix(std::string_view text)
{
    return text.starts_with('/') && text.find("//") == std::string_view::npos
           && text.find("/.") == std::string_view::npos
           && text.find_first_not_of(PathCharacters) == std::string_view::npos;
}

bool isMethod(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char c) { return c >= 'A' && c <= 'Z'; });
}

// Prefixes with and without a final slash count as the same.
bool overlap(std::string_view left, std::string_view right)
{
    const auto covers = [](std::string_view outer, std::string_view inner) {
        if (outer.ends_with('/'))
            outer.remove_suffix(1);
        return inner.starts_with(outer)
               && (inner.size() == outer.size() || inner[outer.size()] == '/');
    };
    return covers(left, right) || covers(right, left);
}

} // namespace

void manifest_builder::addFault(const std::string &header, std::string key, std::string found,
                                std::string expected)
{
    const std::pair<std::string, std::string> place(header, key);
    if (m_malformed.contains(place))
        return;
    const auto entry = m_entryLines.find(place);
    const auto section = m_sectionLines.find(header);
    unsigned line = section == m_sectionLines.end() ? 0 : section->second;
    if (entry != m_entryLines.end())
        line = entry->second;
    m_faults.push_back({line, header, std::move(key), std::move(found), std::move(expected)});
}

void manifest_builder::checkBatch()
{
    const batch_options &batch = m_draft.batch;
    if (batch.minWindow > batch.maxWindow) {
        addFault("batch", "min-window", formatDuration(batch.minWindow),
                 concat("at most max-window, ", formatDuration(batch.maxWindow)));
    }
}

void manifest_builder::checkGroup(const std::string &header, const group_id &group, group_kind kind)
{
    const std::string_view wanted =
        kind == group_kind::Engine ? "an engine group" : "a service group";
    const group_options *found = m_draft.group(group);
    const bool kindKnown = !m_malformed.contains({"group " + group.value(), "kind"});
    if (found == nullptr || (kindKnown && found->kind != kind))
        addFault(header, "group", group.value(), concat("the name of ", wanted));
}

void manifest_builder::checkModels()
{
    for (const auto &[id, model] : m_draft.models)
        checkGroup("model " + id.value(), model.group, group_kind::Engine);
}

void manifest_builder::checkCustomers()
{
    for (const auto &[id, customer] : m_draft.customers) {
        for (const model_id &model : customer.models.value_or(std::vector<model_id>())) {
            if (m_draft.model(model) == nullptr) {
                addFault("customer " + id.value(), "models", model.value(),
                         "the names of declared models");
            }
        }
    }
}

void manifest_builder::checkRoutes()
{
    for (const auto &[name, route] : m_draft.routes) {
        const std::string header = "route " + name;
        checkGroup(header, route.group, group_kind::Service);
        if (!isPathPrefix(route.prefix)) {
            addFault(header, "prefix", route.prefix,
                     "a path from / of letters, digits, '/', '-', '_', '.' and '~'");
        } else if (overlap(route.prefix, ModelApiPrefix)) {
            addFault(header, "prefix", route.prefix, "a path that is not under or over /v1");
        }
        for (const std::string &method : route.repeatableMethods) {
            if (!isMethod(method))
                addFault(header, "repeatable-methods", method, "HTTP methods in capitals");
        }
        for (const auto &[otherName, other] : m_draft.routes) {
            if (otherName < name)
                checkRoutePair(other, route);
        }
    }
}

void manifest_builder::checkRoutePair(const route_options &left, const route_options &right)
{
    if (overlap(left.prefix, right.prefix)) {
        addFault("route " + right.name, "prefix", right.prefix,
                 concat("no overlap with ", left.prefix, " of [route ", left.name, "]"));
    }
}

void manifest_builder::checkObjectives()
{
    for (const auto &[name, objective] : m_draft.objectives) {
        const std::string header = "objective " + name;
        const bool anyone = objective.customer.value().empty();
        if (!anyone && m_draft.customer(objective.customer) == nullptr) {
            addFault(header, "customer", objective.customer.value(),
                     "the name of a declared customer");
        }
        if (m_malformed.contains({header, "kind"}))
            continue;
        const bool timed = objective.kind == objective_kind::FirstToken
                           || objective.kind == objective_kind::TokenGap;
        const bool hasThreshold = objective.threshold > duration::zero();
        if (timed && !hasThreshold)
            addFault(header, "threshold", "nothing", "a duration above zero for this kind");
        if (!timed && hasThreshold)
            addFault(header, "threshold", "a duration", "no threshold for this kind");
    }
}

} // namespace tamarack
