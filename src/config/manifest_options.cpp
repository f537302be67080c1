// The rows of the manifest's option table.
#include <tamarackglade/config/manifest_options.hpp>

namespace tamarack {

namespace {

using enum option_type;

constexpr double Hour = 3600; // seconds
constexpr double Day = 24 * Hour;

const section_option<fleet_options> FleetOptions[] = {
    {{.section = "fleet",
      .key = "name",
      .type = Name,
      .required = true,
      .help = "Name of the fleet in reports and metrics."},
     setOption<&fleet_options::name>},
    {{.section = "fleet",
      .key = "partitions",
      .type = Integer,
      .unit = "partitions",
      .min = 1,
      .max = 4096,
      .defaultText = "16",
      .help = "Partitions of customers; each has one owner of its jobs. Fixed once jobs exist."},
     setOption<&fleet_options::partitions>},
    {{.section = "fleet",
      .key = "log-retention",
      .type = Duration,
      .unit = "time",
      .min = 600,
      .max = 400 * Day,
      .defaultText = "7d",
      .help = "How long the log service keeps a record. What is still needed is appended again "
              "at half of it."},
     setOption<&fleet_options::logRetention>},
    {{.section = "fleet",
      .key = "load-interval",
      .type = Duration,
      .unit = "time",
      .min = 0.1,
      .max = Day,
      .defaultText = "10s",
      .help = "Time between two ordered loads from the weight store, over the whole fleet."},
     setOption<&fleet_options::loadInterval>},
    {{.section = "fleet",
      .key = "load-burst",
      .type = Integer,
      .unit = "loads",
      .min = 1,
      .max = 1000,
      .defaultText = "1",
      .help = "Ordered loads that may begin at once after a quiet time."},
     setOption<&fleet_options::loadBurst>},
};

const section_option<batch_options> BatchOptions[] = {
    {{.section = "batch",
      .key = "result-expiry",
      .type = Duration,
      .unit = "time",
      .min = 60,
      .max = 400 * Day,
      .defaultText = "30d",
      .help = "How long results stay readable after a job ends, past the log's retention too."},
     setOption<&batch_options::resultExpiry>},
    {{.section = "batch",
      .key = "min-window",
      .type = Duration,
      .unit = "time",
      .min = 1,
      .max = 30 * Day,
      .defaultText = "1h",
      .help = "Shortest completion window that a job may ask for."},
     setOption<&batch_options::minWindow>},
    {{.section = "batch",
      .key = "max-window",
      .type = Duration,
      .unit = "time",
      .min = 1,
      .max = 30 * Day,
      .defaultText = "24h",
      .help = "Longest completion window that a job may ask for."},
     setOption<&batch_options::maxWindow>},
    {{.section = "batch",
      .key = "max-items",
      .type = Integer,
      .unit = "items",
      .min = 1,
      .max = 1000000,
      .defaultText = "50000",
      .help = "Most items of one job."},
     setOption<&batch_options::maxItems>},
    {{.section = "batch",
      .key = "online-protection",
      .type = Integer,
      .unit = "percent",
      .min = 0,
      .max = 100,
      .defaultText = "50",
      .help = "Trades batch throughput for the online tail: 0 gives batch all room up to the "
              "objectives, 100 starts batch only on engines without online work. Online goes "
              "before batch at every value."},
     setOption<&batch_options::onlineProtection>},
};

const section_option<group_options> GroupOptions[] = {
    {{.section = "group NAME",
      .key = "kind",
      .type = Choice,
      .choices = "engine|service",
      .required = true,
      .help = "Model engines, or plain services."},
     setOption<&group_options::kind>},
    {{.section = "group NAME",
      .key = "order-check",
      .type = YesNo,
      .defaultText = "no",
      .help = "Whether these upstreams refuse an order with an old fencing number themselves."},
     setOption<&group_options::checksOrders>},
};

const section_option<model_options> ModelOptions[] = {
    {{.section = "model NAME",
      .key = "group",
      .type = Name,
      .required = true,
      .help = "The engine group that runs it."},
     setOption<&model_options::group>},
    {{.section = "model NAME",
      .key = "version",
      .type = Name,
      .required = true,
      .help = "Version of the weights."},
     setOption<&model_options::version>},
    {{.section = "model NAME",
      .key = "adapter",
      .type = Text,
      .defaultText = "",
      .help = "Adapter loaded on the weights; empty for none."},
     setOption<&model_options::adapter>},
    {{.section = "model NAME",
      .key = "max-tokens",
      .type = Integer,
      .unit = "tokens",
      .min = 1,
      .max = 1000000,
      .defaultText = "2048",
      .help = "Most tokens generated in one answer."},
     setOption<&model_options::maxTokens>},
};

const section_option<customer_options> CustomerOptions[] = {
    {{.section = "customer NAME",
      .key = "rate-per-second",
      .type = Number,
      .unit = "requests/s",
      .min = 0.001,
      .max = 100000,
      .required = true,
      .help = "Requests a second over the whole fleet."},
     setOption<&customer_options::ratePerSecond>},
    {{.section = "customer NAME",
      .key = "burst",
      .type = Integer,
      .unit = "requests",
      .min = 1,
      .max = 1000000,
      .required = true,
      .help = "Requests that may come at once."},
     setOption<&customer_options::burst>},
    {{.section = "customer NAME",
      .key = "weight",
      .type = Integer,
      .unit = "shares",
      .min = 1,
      .max = 1000,
      .defaultText = "1",
      .help = "Share at every queue against other customers."},
     setOption<&customer_options::weight>},
    {{.section = "customer NAME",
      .key = "models",
      .type = List,
      .unit = "model names",
      .defaultText = "*",
      .help = "Models that it may call; * for all, none if empty."},
     setOption<&customer_options::models>},
    {{.section = "customer NAME",
      .key = "batch",
      .type = YesNo,
      .defaultText = "no",
      .help = "Whether it may submit batch jobs."},
     setOption<&customer_options::batchAllowed>},
    {{.section = "customer NAME",
      .key = "max-open-jobs",
      .type = Integer,
      .unit = "jobs",
      .min = 0,
      .max = 100000,
      .defaultText = "16",
      .help = "Most jobs open at a time."},
     setOption<&customer_options::maxOpenJobs>},
    {{.section = "customer NAME",
      .key = "region",
      .type = Text,
      .defaultText = "",
      .help = "Region that serves it; empty for any."},
     setOption<&customer_options::region>},
};

const section_option<route_options> RouteOptions[] = {
    {{.section = "route NAME",
      .key = "prefix",
      .type = Text,
      .required = true,
      .help = "Path prefix, from /. Not under /v1, and not overlapping another route's."},
     setOption<&route_options::prefix>},
    {{.section = "route NAME",
      .key = "group",
      .type = Name,
      .required = true,
      .help = "The service group that answers."},
     setOption<&route_options::group>},
    {{.section = "route NAME",
      .key = "open",
      .type = YesNo,
      .defaultText = "no",
      .help = "Whether callers need no key."},
     setOption<&route_options::open>},
    {{.section = "route NAME",
      .key = "repeatable-methods",
      .type = List,
      .unit = "HTTP methods",
      .defaultText = "GET,HEAD",
      .help = "Idempotent methods, which may be tried again. All others are sent at most once."},
     setOption<&route_options::repeatableMethods>},
};

const section_option<objective_options> ObjectiveOptions[] = {
    {{.section = "objective NAME",
      .key = "kind",
      .type = Choice,
      .choices = "availability|ttft|token-gap|batch-due|refusals",
      .required = true,
      .help = "What is measured: answers without an error of ours, time to first token, time "
              "between tokens, jobs within their window, requests within the rate not refused."},
     setOption<&objective_options::kind>},
    {{.section = "objective NAME",
      .key = "class",
      .type = Choice,
      .choices = "all|online|batch",
      .defaultText = "all",
      .help = "Which requests count."},
     setOption<&objective_options::requests>},
    {{.section = "objective NAME",
      .key = "customer",
      .type = Text,
      .defaultText = "",
      .help = "Whose requests count; empty for all customers together."},
     setOption<&objective_options::customer>},
    {{.section = "objective NAME",
      .key = "target",
      .type = Number,
      .unit = "percent",
      .min = 0.001,
      .max = 99.9999,
      .required = true,
      .help = "Share of good events."},
     setOption<&objective_options::targetPercent>},
    {{.section = "objective NAME",
      .key = "threshold",
      .type = Duration,
      .unit = "time",
      .min = 0,
      .max = 60,
      .defaultText = "0ms",
      .help = "Longest good time. Needed for ttft and token-gap, not taken elsewhere."},
     setOption<&objective_options::threshold>},
};

} // namespace

std::span<const section_option<fleet_options>> fleetOptionTable()
{
    return FleetOptions;
}

std::span<const section_option<batch_options>> batchOptionTable()
{
    return BatchOptions;
}

std::span<const section_option<group_options>> groupOptionTable()
{
    return GroupOptions;
}

std::span<const section_option<model_options>> modelOptionTable()
{
    return ModelOptions;
}

std::span<const section_option<customer_options>> customerOptionTable()
{
    return CustomerOptions;
}

std::span<const section_option<route_options>> routeOptionTable()
{
    return RouteOptions;
}

std::span<const section_option<objective_options>> objectiveOptionTable()
{
    return ObjectiveOptions;
}

} // namespace tamarack
