// JSON of a burn_counts record. Names are short because every entry writes a record each interval.
#include <tamarackglade/report/burn_interval.hpp>

#include <nlohmann/json.hpp>

namespace tamarack {

namespace {

using json = nlohmann::ordered_json;

json countJson(const burn_key &key, const burn_count &count)
{
    json object;
    object["customer"] = key.customer.value();
    object["class"] = key.requests == objective_class::Batch ? "batch" : "online";
    object["objective"] = key.objective;
    object["good"] = count.good;
    object["bad"] = count.bad;
    return object;
}

json secondsJson(const customer_id &customer,
                 const std::map<std::uint64_t, admission_counts> &seconds)
{
    json object;
    object["customer"] = customer.value();
    object["seconds"] = json::array();
    for (const auto &[second, requests] : seconds)
        object["seconds"].push_back({second, requests.admitted, requests.refused});
    return object;
}

void readCount(const json &object, burn_interval &interval)
{
    burn_key key;
    key.customer = customer_id(object.at("customer").get<std::string>());
    key.requests = object.at("class").get<std::string>() == "batch" ? objective_class::Batch
                                                                    : objective_class::Online;
    key.objective = object.at("objective").get<std::string>();
    interval.counts[key] +=
        {object.at("good").get<std::uint64_t>(), object.at("bad").get<std::uint64_t>()};
}

void readSeconds(const json &object, burn_interval &interval)
{
    auto &seconds = interval.seconds[customer_id(object.at("customer").get<std::string>())];
    for (const json &row : object.at("seconds"))
        seconds[row.at(0).get<std::uint64_t>()] +=
            {row.at(1).get<std::uint64_t>(), row.at(2).get<std::uint64_t>()};
}

} // namespace

void burn_interval::merge(const burn_interval &other)
{
    for (const auto &[key, count] : other.counts)
        counts[key] += count;
    for (const auto &[customer, rows] : other.seconds) {
        for (const auto &[second, requests] : rows)
            seconds[customer][second] += requests;
    }
}

std::string burn_interval::toJson() const
{
    json object;
    object["counts"] = json::array();
    for (const auto &[key, count] : counts)
        object["counts"].push_back(countJson(key, count));
    object["refused"] = json::array();
    for (const auto &[customer, rows] : seconds)
        object["refused"].push_back(secondsJson(customer, rows));
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

absl::StatusOr<burn_interval> burn_interval::fromJson(std::string_view text)
{
    const json object = json::parse(text, nullptr, false);
    if (!object.is_object())
        return absl::InvalidArgumentError("burn counts are not a JSON object");
    burn_interval interval;
    // nlohmann/json reports missing members and wrong types only by exceptions.
    try {
        for (const json &row : object.at("counts"))
            readCount(row, interval);
        for (const json &row : object.at("refused"))
            readSeconds(row, interval);
    } catch (const json::exception &fault) {
        return absl::InvalidArgumentError(fault.what());
    }
    return interval;
}

} // namespace tamarack
