// inih, which as packaged reports no lines of entries: its reader counts them.
#include <tamarackglade/core/ini_text.hpp>

#include <ini.h>

#include <algorithm>
#include <cstring>
#include <string_view>

namespace tamarack {

namespace {

// The text that inih reads line by line, and the entries' receiver.
struct ini_source
{
    std::string_view rest;
    int line = 0;
    const std::function<void(const ini_entry &)> &onEntry;
};

// Like fgets, but from an ini_source; counts the lines that it begins.
char *readLine(char *buffer, int size, void *stream)
{
    auto &source = *static_cast<ini_source *>(stream);
    if (source.rest.empty())
        return nullptr;
    const std::size_t lineEnd = source.rest.find('\n');
    const std::size_t lineSize =
        lineEnd == std::string_view::npos ? source.rest.size() : lineEnd + 1;
    const std::size_t copied = std::min(lineSize, static_cast<std::size_t>(size - 1));
    std::memcpy(buffer, source.rest.data(), copied);
    buffer[copied] = '\0';
    source.rest.remove_prefix(lineSize);
    ++source.line;
    return buffer;
}

int onIniEntry(void *user, const char *section, const char *name, const char *value)
{
    const auto &source = *static_cast<ini_source *>(user);
    source.onEntry(ini_entry{section, name, value, source.line});
    return 1;
}

} // namespace

int readIniText(const std::string &text, const std::function<void(const ini_entry &)> &onEntry)
{
    ini_source source{text, 0, onEntry};
    return std::max(0, ini_parse_stream(&readLine, &source, &onIniEntry, &source));
}

} // namespace tamarack
