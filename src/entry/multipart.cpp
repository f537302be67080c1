// Splits multipart bodies of file uploads into parts.
#include <tamarackglade/entry/multipart.hpp>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <optional>

namespace tamarack {

namespace {

constexpr std::size_t MaxBoundaryBytes = 200;

absl::string_view view(std::string_view text)
{
    return {text.data(), text.size()};
}

// Returns the value of a parameter such as name="x" in a header's value, or "".
std::string parameter(std::string_view header, std::string_view name)
{
    for (absl::string_view piece : absl::StrSplit(view(header), ';')) {
        piece = absl::StripAsciiWhitespace(piece);
        const std::pair<absl::string_view, absl::string_view> pair =
            absl::StrSplit(piece, absl::MaxSplits('=', 1));
        if (!absl::EqualsIgnoreCase(pair.first, view(name)))
            continue;
        absl::string_view value = pair.second;
        if (value.size() >= 2 && value.front() == '"' && value.back() == '"')
            value = value.substr(1, value.size() - 2);
        return std::string(value);
    }
    return {};
}

absl::StatusOr<form_part> parsePart(std::string_view text)
{
    const auto headerEnd = text.find("\r\n\r\n");
    if (headerEnd == std::string_view::npos)
        return absl::InvalidArgumentError("a part has no header");
    form_part part;
    for (const absl::string_view line : absl::StrSplit(view(text.substr(0, headerEnd)), "\r\n")) {
        if (!absl::StartsWithIgnoreCase(line, "content-disposition:"))
            continue;
        part.name = parameter({line.data(), line.size()}, "name");
        part.filename = parameter({line.data(), line.size()}, "filename");
    }
    if (part.name.empty())
        return absl::InvalidArgumentError("a part has no name");
    part.content = text.substr(headerEnd + 4);
    return part;
}

} // namespace

absl::StatusOr<std::vector<form_part>> parseMultipart(std::string_view contentType,
                                                      std::string_view body)
{
    const std::string boundary = parameter(contentType, "boundary");
    if (!absl::StartsWithIgnoreCase(view(contentType), "multipart/form-data") || boundary.empty()
        || boundary.size() > MaxBoundaryBytes)
        return absl::InvalidArgumentError("the body must be multipart/form-data");
    const std::string delimiter = absl::StrCat("--", boundary);
    std::size_t at = body.find(delimiter);
    if (at == std::string_view::npos)
        return absl::InvalidArgumentError("the body does not contain its boundary");
    std::vector<form_part> parts;
    for (;;) {
        at += delimiter.size();
        if (body.substr(at, 2) == "--")
            return parts;
        if (body.substr(at, 2) != "\r\n")
            return absl::InvalidArgumentError(
                "a boundary is followed by neither -- nor a line end");
        at += 2;
        const std::size_t next = body.find(absl::StrCat("\r\n", delimiter), at);
        if (next == std::string_view::npos)
            return absl::InvalidArgumentError("a part is not followed by a boundary");
        auto part = parsePart(body.substr(at, next - at));
        if (!part.ok())
            return part.status();
        parts.push_back(std::move(*part));
        at = next + 2;
    }
}

} // namespace tamarack
