// A structured log line, written through glog as one JSON object.
#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace tamarack {

/// The severity of a log line.
enum class log_level { Debug, Info, Warning, Error };

/// @brief Collects the fields of one line and writes it when destroyed.
/// Never pass a key or a prompt.
class log_event
{
public:
    log_event(log_level level, std::string_view message);
    log_event(const log_event &) = delete;
    log_event &operator=(const log_event &) = delete;
    ~log_event();

    log_event &request(std::string_view id) { return with("request_id", id); }
    log_event &customer(std::string_view id) { return with("customer", id); }
    log_event &upstream(std::string_view id) { return with("upstream", id); }
    /// @brief Adds a field.
    template <class Value>
    log_event &with(const char *name, Value &&value)
    {
        m_fields[name] = std::forward<Value>(value);
        return *this;
    }

private:
    log_level m_level;
    nlohmann::ordered_json m_fields;
};

} // namespace tamarack
