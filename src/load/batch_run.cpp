// Implements upload, creation, polling and the check of results of batch jobs.
#include <tamarackglade/core/hash.hpp>
#include <tamarackglade/http/http_client.hpp>
#include <tamarackglade/load/batch_run.hpp>
#include <tamarackglade/load/expected_answer.hpp>
#include <tamarackglade/load/load_plan.hpp>
#include <tamarackglade/runtime/io_thread.hpp>
#include <tamarackglade/runtime/steady_now.hpp>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace tamarack {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds PollInterval{200};
constexpr const char *Boundary = "tamarack-load-boundary";

std::string itemPrompt(const load_batch &batch, std::uint32_t index)
{
    return seededText(stableHash(batch.name, index), batch.promptTokens);
}

std::string formPart(const std::string &disposition, const std::string &content)
{
    return absl::StrCat("--", Boundary, "\r\nContent-Disposition: form-data; ", disposition,
                        "\r\n\r\n", content, "\r\n");
}

// Runs one job over one connection.
class batch_job_client
{
public:
    batch_job_client(boost::asio::io_context &io, const load_profile &profile,
                     const load_batch &batch)
        : m_profile(profile), m_batch(batch), m_client(io, profile.targets.front().address)
    {
        m_result.name = batch.name;
        m_result.items = batch.items;
    }

    batch_result run(time_point deadline)
    {
        const time_point start = steadyNow();
        const std::string file = upload();
        const std::string job = file.empty() ? "" : create(file);
        json jobStatus;
        while (!job.empty() && steadyNow() < deadline) {
            jobStatus = sendRequest("GET", "/v1/batches/" + job);
            m_result.status = text(jobStatus, "status");
            if (m_result.status == "completed" || m_result.status == "failed"
                || m_result.status == "cancelled" || m_result.status == "expired")
                break;
            boost::this_fiber::sleep_for(PollInterval);
        }
        m_result.seconds = toSeconds(steadyNow() - start);
        countBatchResults(m_batch, fileContent(jobStatus, "output_file_id"),
                          fileContent(jobStatus, "error_file_id"), m_result);
        return m_result;
    }

private:
    std::string upload()
    {
        const std::string body =
            absl::StrCat(formPart("name=\"purpose\"", "batch"),
                         formPart("name=\"file\"; filename=\"batch.jsonl\"", batchInput(m_batch)),
                         "--", Boundary, "--\r\n");
        return text(sendRequest("POST", "/v1/files", body,
                                absl::StrCat("multipart/form-data; boundary=", Boundary)),
                    "id");
    }

    std::string create(const std::string &file)
    {
        const json body = {{"input_file_id", file},
                           {"endpoint", "/v1/chat/completions"},
                           {"completion_window", "24h"}};
        return text(sendRequest("POST", "/v1/batches", body.dump(), "application/json"), "id");
    }

    std::string fileContent(const json &jobStatus, const char *field)
    {
        const std::string file = text(jobStatus, field);
        if (file.empty())
            return {};
        const auto response = m_client.fetch(request("GET", "/v1/files/" + file + "/content"));
        return response.ok() && response->status == 200 ? response->body : std::string();
    }

    json sendRequest(const std::string &method, const std::string &target,
                     const std::string &body = {}, const std::string &contentType = {})
    {
        http_client_request sent = request(method, target);
        sent.body = body;
        sent.contentType = contentType;
        const auto response = m_client.fetch(sent);
        if (!response.ok()) {
            m_result.status = std::string(response.status().message());
            return {};
        }
        if (response->status != 200) {
            m_result.status = absl::StrCat("status ", response->status);
            return {};
        }
        return json::parse(response->body, nullptr, false);
    }

    http_client_request request(const std::string &method, const std::string &target) const
    {
        http_client_request sent;
        sent.method = method;
        sent.target = target;
        const auto customer =
            std::ranges::find(m_profile.customers, m_batch.customer, &load_customer::name);
        if (!customer->key.empty())
            sent.headers.emplace_back("Authorization", "Bearer " + customer->key);
        return sent;
    }

    static std::string text(const json &object, const char *field)
    {
        if (!object.is_object() || !object.contains(field) || !object[field].is_string())
            return {};
        return object[field].get<std::string>();
    }

    const load_profile &m_profile;
    const load_batch &m_batch;
    http_client m_client;
    batch_result m_result;
};

// Returns the index of the item that a result line belongs to, or -1 if it names no item of the
// batch.
std::int64_t itemIndex(const load_batch &batch, const json &line)
{
    if (!line.is_object() || !line.contains("custom_id") || !line["custom_id"].is_string())
        return -1;
    const std::string id = line["custom_id"].get<std::string>();
    std::uint32_t index = 0;
    if (!id.starts_with("item-") || !absl::SimpleAtoi(id.substr(5), &index) || index >= batch.items)
        return -1;
    return index;
}

std::string answerOfLine(const json &line)
{
    const json::json_pointer pointer("/response/body/choices/0/message/content");
    return line.contains(pointer) && line[pointer].is_string() ? line[pointer].get<std::string>()
                                                               : std::string();
}

} // namespace

std::string batchInput(const load_batch &batch)
{
    std::string lines;
    for (std::uint32_t i = 0; i < batch.items; ++i) {
        const json messages = json::array({{{"role", "user"}, {"content", itemPrompt(batch, i)}}});
        const json line = {
            {"custom_id", absl::StrCat("item-", i)},
            {"method", "POST"},
            {"url", "/v1/chat/completions"},
            {"body",
             {{"model", batch.model}, {"messages", messages}, {"max_tokens", batch.maxTokens}}}};
        lines += line.dump() + "\n";
    }
    return lines;
}

void countBatchResults(const load_batch &batch, const std::string &output,
                       const std::string &errors, batch_result &result)
{
    std::vector<bool> seen(batch.items, false);
    const std::string all = absl::StrCat(output, "\n", errors);
    for (const absl::string_view text : absl::StrSplit(all, '\n', absl::SkipWhitespace())) {
        const json line = json::parse(text.begin(), text.end(), nullptr, false);
        const std::int64_t item = itemIndex(batch, line);
        if (item < 0) {
            ++result.wrong;
            continue;
        }
        if (seen[item]) {
            ++result.duplicates;
            continue;
        }
        seen[item] = true;
        const std::string prompt = itemPrompt(batch, static_cast<std::uint32_t>(item));
        if (line.contains("error") && !line["error"].is_null())
            ++result.errors;
        else if (answerOfLine(line)
                 == expectedAnswer(batch.model, "user: " + prompt + "\n", batch.maxTokens))
            ++result.whole;
        else
            ++result.wrong;
    }
    result.missing += static_cast<std::uint32_t>(std::count(seen.begin(), seen.end(), false));
}

std::vector<batch_result> runBatches(const load_profile &profile)
{
    std::vector<batch_result> results(profile.batches.size());
    if (results.empty())
        return results;
    io_thread thread;
    const time_point start = steadyNow();
    const time_point deadline = start + fromSeconds(profile.seconds + profile.drain);
    thread.run([&] {
        std::vector<boost::fibers::fiber> jobs;
        jobs.reserve(results.size());
        for (std::size_t i = 0; i < results.size(); ++i) {
            jobs.emplace_back([&, i] {
                const load_batch &batch = profile.batches[i];
                boost::this_fiber::sleep_for(fromSeconds(batch.start));
                results[i] = batch_job_client(thread.io(), profile, batch).run(deadline);
            });
        }
        for (boost::fibers::fiber &job : jobs)
            job.join();
    });
    return results;
}

} // namespace tamarack
