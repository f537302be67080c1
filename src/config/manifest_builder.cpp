// Sections to a manifest, by the option table.
#include <tamarackglade/config/manifest_builder.hpp>
#include <tamarackglade/config/manifest_options.hpp>
#include <tamarackglade/ini/text.hpp>

namespace tamarack {

namespace {

template <class Section>
const section_option<Section> *findOption(std::span<const section_option<Section>> table,
                                          std::string_view key)
{
    for (const section_option<Section> &option : table) {
        if (option.doc.key == key)
            return &option;
    }
    return nullptr;
}

template <class Section>
std::string keysOf(std::span<const section_option<Section>> table)
{
    std::string keys;
    for (const section_option<Section> &option : table)
        keys += concat(keys.empty() ? "one of " : ", ", option.doc.key);
    return keys;
}

} // namespace

void manifest_builder::add(const ini_section &section)
{
    const auto [known, isNew] = m_sectionLines.emplace(section.header, section.line);
    if (!isNew) {
        m_faults.push_back({section.line, section.header, "", "the section again",
                            concat("it once; it stands on line ", known->second)});
        return;
    }
    if (section.header == "fleet")
        return fill(section, fleetOptionTable(), m_draft.fleet);
    if (section.header == "batch")
        return fill(section, batchOptionTable(), m_draft.batch);
    const std::size_t space = section.header.find(' ');
    const std::string kind = section.header.substr(0, space);
    const std::string name =
        space == std::string::npos ? std::string() : section.header.substr(space + 1);
    addNamed(section, kind, name);
}

void manifest_builder::addNamed(const ini_section &section, std::string_view kind,
                                const std::string &name)
{
    static const std::set<std::string_view> Kinds{"group", "model", "customer", "route",
                                                  "objective"};
    if (!Kinds.contains(kind)) {
        m_faults.push_back({section.line, section.header, "", "an unknown section",
                            "fleet, batch, group NAME, model NAME, customer NAME, route NAME or "
                            "objective NAME"});
        return;
    }
    if (!isManifestName(name)) {
        m_faults.push_back({section.line, section.header, "",
                            name.empty() ? "no name" : "name " + name,
                            option_doc{.type = option_type::Name}.expected()});
        return;
    }
    if (kind == "group") {
        group_options &group = m_draft.groups[group_id(name)];
        group.id = group_id(name);
        fill(section, groupOptionTable(), group);
    } else if (kind == "model") {
        model_options &model = m_draft.models[model_id(name)];
        model.id = model_id(name);
        fill(section, modelOptionTable(), model);
    } else if (kind == "customer") {
        customer_options &customer = m_draft.customers[customer_id(name)];
        customer.id = customer_id(name);
        fill(section, customerOptionTable(), customer);
    } else if (kind == "route") {
        route_options &route = m_draft.routes[name];
        route.name = name;
        fill(section, routeOptionTable(), route);
    } else {
        objective_options &objective = m_draft.objectives[name];
        objective.name = name;
        fill(section, objectiveOptionTable(), objective);
    }
}

template <class Section>
void manifest_builder::fill(const ini_section &section,
                            std::span<const section_option<Section>> table, Section &target)
{
    for (const section_option<Section> &option : table) {
        if (!option.doc.required)
            option.set(target, option.doc.defaultText, option.doc);
    }
    for (const ini_entry &entry : section.entries) {
        const section_option<Section> *option = findOption(table, entry.key);
        const std::pair<std::string, std::string> place(section.header, entry.key);
        const auto [known, isNew] = m_entryLines.emplace(place, entry.line);
        if (option == nullptr) {
            m_faults.push_back(
                {entry.line, section.header, entry.key, "an unknown key", keysOf(table)});
        } else if (!isNew) {
            m_faults.push_back({entry.line, section.header, entry.key, "the key again",
                                concat("it once; it stands on line ", known->second)});
        } else if (!option->set(target, entry.value, option->doc)) {
            m_malformed.insert(place);
            m_faults.push_back({entry.line, section.header, entry.key,
                                entry.value.empty() ? "nothing" : entry.value,
                                option->doc.expected()});
        }
    }
    for (const section_option<Section> &option : table) {
        const std::pair<std::string, std::string> place(section.header, option.doc.key);
        if (option.doc.required && !m_entryLines.contains(place)) {
            m_malformed.insert(place);
            m_faults.push_back({section.line, section.header, std::string(option.doc.key),
                                "nothing", option.doc.expected()});
        }
    }
}

template <class Section>
void manifest_builder::fillAbsent(std::string_view header,
                                  std::span<const section_option<Section>> table, Section &target)
{
    if (!m_sectionLines.contains(std::string(header)))
        fill({0, std::string(header), {}}, table, target);
}

void manifest_builder::finish()
{
    fillAbsent("fleet", fleetOptionTable(), m_draft.fleet);
    fillAbsent("batch", batchOptionTable(), m_draft.batch);
    checkBatch();
    checkModels();
    checkCustomers();
    checkRoutes();
    checkObjectives();
}

} // namespace tamarack
