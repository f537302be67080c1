// A glog sink that prints each line as a JSON object on standard output. Lines of log_event are
// objects already; others become the message of one.
#include <tamarackglade/logging/init_logging.hpp>
#include <tamarackglade/logging/line_writer.hpp>
#include <tamarackglade/logging/log_event.hpp>

#include <absl/strings/str_cat.h>
#include <absl/time/time.h>
#include <glog/logging.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdlib>

namespace tamarack {

namespace {

std::atomic<int> leastLevel{static_cast<int>(log_level::Info)};

constexpr std::array<const char *, 4> LevelNames{"debug", "info", "warning", "error"};

// Marks a glog message that is the inside of a JSON object already.
constexpr char ObjectMark = '\x01';

const char *levelOfSeverity(google::LogSeverity severity)
{
    switch (severity) {
    case google::GLOG_INFO:
        return "info";
    case google::GLOG_WARNING:
        return "warning";
    default:
        return "error";
    }
}

// Bytes of lines that may wait for standard output.
constexpr std::size_t WaitingBytes = 1024 * 1024;

line_writer &standardOutput()
{
    static auto *writer = new line_writer(STDOUT_FILENO, WaitingBytes);
    return *writer;
}

std::string timeText()
{
    return absl::FormatTime("%Y-%m-%dT%H:%M:%E6SZ",
                            absl::FromChrono(std::chrono::system_clock::now()),
                            absl::UTCTimeZone());
}

class json_line_sink final : public google::LogSink
{
public:
    explicit json_line_sink(std::string program) : m_program(std::move(program)) { }

    void send(google::LogSeverity severity, const char * /*fullFile*/, const char *baseFile,
              int line, const google::LogMessageTime & /*time*/, const char *message,
              std::size_t length) override
    {
        std::string text =
            absl::StrCat("{\"time\":\"", timeText(), "\",\"program\":\"", m_program, "\",");
        if (length > 2 && message[0] == ObjectMark) {
            // The object's fields follow its opening brace.
            absl::StrAppend(&text, absl::string_view(message + 2, length - 2));
        } else {
            const nlohmann::ordered_json object{{"level", levelOfSeverity(severity)},
                                                {"message", std::string(message, length)},
                                                {"source", absl::StrCat(baseFile, ":", line)}};
            const std::string fields =
                object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
            absl::StrAppend(&text, absl::string_view(fields).substr(1));
        }
        standardOutput().write(text);
    }

private:
    std::string m_program;
};

} // namespace

log_event::log_event(log_level level, std::string_view message) : m_level(level)
{
    m_fields["level"] = LevelNames[static_cast<std::size_t>(level)];
    m_fields["message"] = message;
}

log_event::~log_event()
{
    if (static_cast<int>(m_level) < leastLevel)
        return;
    const std::string text =
        ObjectMark + m_fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    switch (m_level) {
    case log_level::Debug:
    case log_level::Info:
        LOG(INFO) << text;
        break;
    case log_level::Warning:
        LOG(WARNING) << text;
        break;
    case log_level::Error:
        LOG(ERROR) << text;
        break;
    }
}

std::uint64_t droppedLogLines()
{
    return standardOutput().dropped();
}

absl::Status setLogLevel(const std::string &level)
{
    for (std::size_t i = 0; i < LevelNames.size(); ++i) {
        if (level == LevelNames[i]) {
            leastLevel = static_cast<int>(i);
            return absl::OkStatus();
        }
    }
    return absl::InvalidArgumentError(
        absl::StrCat("log-level: expected debug, info, warning or error, found '", level, "'"));
}

absl::Status initLogging(const std::string &program, const std::string &level)
{
    absl::Status known = setLogLevel(level);
    if (!known.ok())
        return known;
    // glog's own outputs are off; the sink is the only one. It lives as long as the process.
    static auto *sink = new json_line_sink(program);
    FLAGS_logtostderr = false;
    FLAGS_alsologtostderr = false;
    FLAGS_stderrthreshold = google::NUM_SEVERITIES;
    FLAGS_minloglevel = google::GLOG_INFO; // its environment variable would hide our lines
    for (int severity = 0; severity < google::NUM_SEVERITIES; ++severity)
        google::SetLogDestination(severity, "");
    static const std::string ProgramName = program;
    google::InitGoogleLogging(ProgramName.c_str());
    google::AddLogSink(sink);
    std::at_quick_exit([] { standardOutput().flush(line_writer::FlushTime); });
    return absl::OkStatus();
}

} // namespace tamarack
