// JSON of files and jobs with the fields of OpenAI's API.
#pragma once

#include <tamarackglade/jobs/batch_job.hpp>
#include <tamarackglade/jobs/input_file.hpp>
#include <tamarackglade/schema/log_generated.h>

#include <nlohmann/json.hpp>

#include <string>

namespace tamarack {

/// @brief The job and the kind of file that a result file's id refers to.
struct result_file_name
{
    job_id job; // "" if the id is not that of a result file
    bool succeeded = false; // the output file, else the error file
};

/// @return a new input file's id, which contains its creation time (seconds) and size
file_id newFileId(std::uint64_t createdAtS, std::size_t bytes);
/// @return the id of a job's output or error file
file_id resultFileId(const job_id &job, bool succeeded);
/// @return the parts of a result file's id; job is "" for other ids
result_file_name parseResultFile(const file_id &id);

nlohmann::ordered_json inputFileJson(const input_file &file);
nlohmann::ordered_json resultFileJson(const batch_job &job, bool succeeded);
nlohmann::ordered_json jobJson(const batch_job &job);
/// @return one line of an output or error file, with its line end
std::string resultLine(const schema::item_result_message &result);

} // namespace tamarack
