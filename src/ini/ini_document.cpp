// Parses INI text with inih and counts the lines, because the packaged inih does not pass line
// numbers to its handler (INI_HANDLER_LINENO is 0).
#include <tamarackglade/ini/ini_document.hpp>
#include <tamarackglade/ini/text.hpp>

#include <ini.h>

#include <algorithm>

namespace tamarack {

namespace {

// In bytes. The 200 bytes of inih's buffer (INI_MAX_LINE) hold a line, its line ending and a null
// terminator.
constexpr std::size_t MaxLineSize = 190;
// inih truncates section names of more than 49 characters. The index of the ']' is compared with
// this, so the longest header accepted has 48.
constexpr std::size_t MaxHeaderSize = 49;

bool isControl(char c)
{
    const auto byte = static_cast<unsigned char>(c);
    return (byte < ' ' && byte != '\t') || byte == 0x7f;
}

// Gives inih one line for each call of nextLine(), so that the next entry that inih reports is from
// this line. Section headers are parsed here, since inih does not report them.
class ini_line_reader
{
public:
    explicit ini_line_reader(std::string_view text) : m_rest(text) { }

    ini_document read()
    {
        ini_parse_stream(&ini_line_reader::nextLine, this, &ini_line_reader::onEntry, this);
        reportMissingEntry();
        return std::move(m_document);
    }

private:
    // Reader callback of inih, with the interface of fgets.
    static char *nextLine(char *buffer, int size, void *self)
    {
        return static_cast<ini_line_reader *>(self)->fillLineBuffer(buffer,
                                                                    static_cast<std::size_t>(size));
    }

    // Handler callback of inih for a key and its value; 1 means success.
    static int onEntry(void *self, const char * /*section*/, const char *key, const char *value)
    {
        static_cast<ini_line_reader *>(self)->addEntry(key, value);
        return 1;
    }

    // Copies the next line into the buffer, or an empty line if it is too long for inih or has
    // control characters. Returns null at the end of the text.
    char *fillLineBuffer(char *buffer, std::size_t size)
    {
        reportMissingEntry();
        if (m_rest.empty())
            return nullptr;
        advanceLine();
        std::string_view line = m_line;
        const bool unreadable = line.size() > std::min(MaxLineSize, size - 2)
                                || std::any_of(line.begin(), line.end(), isControl);
        if (unreadable) {
            addFault("a line of at most 190 bytes without control characters");
            m_awaitsEntry = false;
            line = {};
        }
        std::copy(line.begin(), line.end(), buffer);
        buffer[line.size()] = '\n';
        buffer[line.size() + 1] = '\0';
        return buffer;
    }

    // Takes the next line off the remaining text.
    void advanceLine()
    {
        const std::size_t end = std::min(m_rest.find('\n'), m_rest.size());
        m_line = trimmed(m_rest.substr(0, end));
        m_rest.remove_prefix(std::min(end + 1, m_rest.size()));
        ++m_lineNumber;
        m_awaitsEntry = !m_line.empty() && m_line.front() != ';' && m_line.front() != '#';
        if (m_awaitsEntry && m_line.front() == '[')
            parseSectionHeader();
    }

    void parseSectionHeader()
    {
        m_awaitsEntry = false;
        const std::size_t end = m_line.find(']');
        if (end == std::string_view::npos || end == 1 || end > MaxHeaderSize) {
            addFault("a section such as [fleet] of at most 49 characters");
            return;
        }
        const std::string_view after = trimmed(m_line.substr(end + 1));
        if (!after.empty() && after.front() != ';')
            addFault("nothing after the section's ]");
        m_document.sections.push_back({m_lineNumber, std::string(m_line.substr(1, end - 1)), {}});
    }

    void addEntry(const char *key, const char *value)
    {
        m_awaitsEntry = false;
        if (m_document.sections.empty()) {
            addFault("a section before the first key");
            return;
        }
        m_document.sections.back().entries.push_back({m_lineNumber, key, value});
    }

    // Adds a fault if inih skipped the current line as malformed instead of reporting its entry.
    void reportMissingEntry()
    {
        if (m_awaitsEntry)
            addFault("key = value");
        m_awaitsEntry = false;
    }

    // Adds a fault of the current line, of which it quotes the first 40 bytes.
    void addFault(std::string_view expected)
    {
        const std::string section =
            m_document.sections.empty() ? "" : m_document.sections.back().header;
        m_document.faults.push_back(
            {m_lineNumber, section, "", std::string(m_line.substr(0, 40)), std::string(expected)});
    }

    std::string_view m_rest; // the text behind the current line
    std::string_view m_line; // the current line, trimmed
    unsigned m_lineNumber = 0; // of m_line, from 1; 0 before the first line
    bool m_awaitsEntry = false; // whether m_line must be an entry that inih has not reported yet
    ini_document m_document;
};

} // namespace

ini_document readIni(std::string_view text)
{
    return ini_line_reader(text).read();
}

} // namespace tamarack
