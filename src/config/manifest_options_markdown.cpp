// The option table as a page.
#include <tamarackglade/config/manifest_options.hpp>
#include <tamarackglade/ini/text.hpp>

namespace tamarack {

namespace {

std::string cell(std::string_view text)
{
    std::string escaped;
    for (const char c : text)
        escaped += c == '|' ? std::string("\\|") : std::string(1, c);
    return escaped;
}

template <class Section>
void addRows(std::string &page, std::span<const section_option<Section>> table)
{
    page += concat("\n## [", table.front().doc.section, "]\n\n",
                   "| key | value | unit | default | meaning |\n|---|---|---|---|---|\n");
    for (const section_option<Section> &option : table) {
        const option_doc &doc = option.doc;
        const std::string defaultText =
            doc.required ? "required" : concat("`", doc.defaultText, "`");
        const bool empty = !doc.required && doc.defaultText.empty();
        page += concat("| `", doc.key, "` | ", cell(doc.expected()), " | ", doc.unit, " | ",
                       empty ? "empty" : cell(defaultText), " | ", cell(doc.help), " |\n");
    }
}

} // namespace

std::string manifestOptionsMarkdown()
{
    std::string page;
    addRows(page, fleetOptionTable());
    addRows(page, batchOptionTable());
    addRows(page, groupOptionTable());
    addRows(page, modelOptionTable());
    addRows(page, customerOptionTable());
    addRows(page, routeOptionTable());
    addRows(page, objectiveOptionTable());
    return page;
}

} // namespace tamarack
