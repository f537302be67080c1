// Validation of JSON Lines input files.
#include <tamarackglade/core/json_text.hpp>
#include <tamarackglade/jobs/job_submission.hpp>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <nlohmann/json.hpp>

#include <unordered_set>

namespace tamarack {

namespace {

/// Checks the lines of a file and collects the errors.
class input_checker
{
public:
    input_checker(schema::job_endpoint endpoint, const submission_limits &limits)
        : m_path(endpointPath(endpoint)), m_limits(limits)
    {
    }

    /// @return false when no further line needs to be checked
    bool addLine(std::string_view line)
    {
        ++m_lines;
        if (m_lines > m_limits.maxItems)
            addError(absl::StrCat("more than ", m_limits.maxItems, " items"));
        else if (line.size() > m_limits.maxLineBytes)
            addError(absl::StrCat("longer than ", m_limits.maxLineBytes, " bytes"));
        else
            checkLine(line);
        return m_lines <= m_limits.maxItems && m_errors.size() < m_limits.maxReportedErrors;
    }

    [[nodiscard]] absl::StatusOr<input_summary> finish() const
    {
        if (!m_errors.empty())
            return absl::InvalidArgumentError(absl::StrJoin(m_errors, "; "));
        return input_summary{m_lines, model_id(m_model)};
    }

private:
    void addError(const std::string &message)
    {
        m_errors.push_back(absl::StrCat("line ", m_lines, ": ", message));
    }

    void checkLine(std::string_view line)
    {
        const auto value = parseJson(line);
        if (!value.is_object()) {
            addError("not a JSON object");
            return;
        }
        checkCustomId(value);
        if (stringOf(value, "method") != "POST")
            addError("method must be POST");
        if (stringOf(value, "url") != m_path)
            addError(absl::StrCat("url must be ", m_path));
        checkBody(value);
    }

    void checkCustomId(const nlohmann::json &value)
    {
        const auto id = stringOf(value, "custom_id");
        if (id.empty() || id.size() > m_limits.maxCustomIdBytes)
            addError(absl::StrCat("custom_id must be a string of 1 to ", m_limits.maxCustomIdBytes,
                                  " bytes"));
        else if (!m_customIds.insert(id).second)
            addError("custom_id is used on an earlier line");
    }

    void checkBody(const nlohmann::json &value)
    {
        const auto body = value.find("body");
        if (body == value.end() || !body->is_object()) {
            addError("body must be an object");
            return;
        }
        const auto model = stringOf(*body, "model");
        if (m_lines == 1 || m_model.empty())
            m_model = model;
        if (model.empty())
            addError("body.model must be a non-empty string");
        else if (model != m_model)
            addError(absl::StrCat("body.model must be ", m_model, " as on the previous lines"));
    }

    static std::string stringOf(const nlohmann::json &object, const char *name)
    {
        const auto found = object.find(name);
        const bool isString = found != object.end() && found->is_string();
        return isString ? found->get<std::string>() : std::string();
    }

    std::string m_path;
    const submission_limits &m_limits;
    std::uint32_t m_lines = 0;
    std::string m_model;
    std::unordered_set<std::string> m_customIds;
    std::vector<std::string> m_errors;
};

} // namespace

absl::StatusOr<input_summary> checkInput(std::string_view content, schema::job_endpoint endpoint,
                                         const submission_limits &limits)
{
    if (content.empty())
        return absl::InvalidArgumentError("the file is empty");
    if (content.size() > limits.maxFileBytes)
        return absl::InvalidArgumentError(
            absl::StrCat("the file is larger than ", limits.maxFileBytes, " bytes"));
    input_checker checker(endpoint, limits);
    for (auto rest = content; !rest.empty();) {
        const auto end = rest.find('\n');
        const auto line = rest.substr(0, end);
        rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 1);
        if (!checker.addLine(line))
            break;
    }
    return checker.finish();
}

} // namespace tamarack
