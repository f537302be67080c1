// Parses requests to /v1/files and calls the job controller.
#include <tamarackglade/entry/answer_json.hpp>
#include <tamarackglade/entry/files_api.hpp>
#include <tamarackglade/entry/multipart.hpp>

#include <absl/strings/match.h>

namespace tamarack {

namespace {

constexpr std::string_view FilesPrefix = "/v1/files/";
constexpr std::string_view ContentSuffix = "/content";

const form_part *findPart(const std::vector<form_part> &parts, std::string_view name)
{
    for (const form_part &part : parts) {
        if (part.name == name)
            return &part;
    }
    return nullptr;
}

} // namespace

void files_api::upload(const caller_request &request)
{
    const http_request &http = request.exchange.request();
    const auto parts = parseMultipart(http.header("content-type"), http.body);
    if (!parts.ok()) {
        request.refuse(
            invalidRequest("malformed_multipart", std::string(parts.status().message())));
        return;
    }
    const form_part *purpose = findPart(*parts, "purpose");
    const form_part *file = findPart(*parts, "file");
    if (purpose == nullptr || purpose->content != "batch") {
        request.refuse(invalidRequest("invalid_purpose", "purpose must be 'batch'"));
        return;
    }
    if (file == nullptr || file->content.empty()) {
        request.refuse(
            invalidRequest("invalid_file", "the form must have a non-empty part named 'file'"));
        return;
    }
    api_result<job_controller::json> result;
    m_control.run([&] {
        result = m_controller.upload(request.from.customer, file->filename, file->content);
    });
    answerJson(request, result);
}

void files_api::list(const caller_request &request)
{
    api_result<job_controller::json> result;
    m_control.run([&] { result = m_controller.listFiles(request.from.customer); });
    answerJson(request, result);
}

void files_api::showOrRead(const caller_request &request)
{
    std::string id = request.exchange.request().path.substr(FilesPrefix.size());
    if (id.size() > ContentSuffix.size()
        && id.compare(id.size() - ContentSuffix.size(), ContentSuffix.size(), ContentSuffix) == 0) {
        read(request, file_id(id.substr(0, id.size() - ContentSuffix.size())));
        return;
    }
    api_result<job_controller::json> result;
    m_control.run([&] { result = m_controller.showFile(request.from.customer, file_id(id)); });
    answerJson(request, result);
}

void files_api::read(const caller_request &request, const file_id &file)
{
    content_part part;
    while (!part.last) {
        api_result<content_part> result;
        m_control.run(
            [&] { result = m_controller.readContent(request.from.customer, file, part.next); });
        if (const auto *error = std::get_if<api_error>(&result)) {
            if (request.exchange.started())
                request.exchange.abortStream();
            else
                request.refuse(*error);
            return;
        }
        part = std::move(std::get<content_part>(result));
        if (!request.exchange.started()) {
            http_response head;
            head.contentType = "application/octet-stream";
            head.headers.emplace_back("X-Request-Id", request.id.value());
            request.exchange.beginStream(head);
        }
        if (!request.exchange.writeChunk(part.bytes))
            return;
    }
    request.exchange.endStream();
}

} // namespace tamarack
