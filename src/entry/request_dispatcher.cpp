// Route table and the checks before a handler runs.
#include <tamarackglade/entry/models_api.hpp>
#include <tamarackglade/entry/request_dispatcher.hpp>
#include <tamarackglade/logging/log_event.hpp>
#include <tamarackglade/runtime/random_bytes.hpp>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

namespace tamarack {

namespace {

constexpr std::chrono::milliseconds NotReadyRetryDelay{1'000};
constexpr std::string_view BearerPrefix = "Bearer ";

api_error notReadyError()
{
    return {503,           "service_unavailable",
            "not_ready",   "this entry has no active configuration yet",
            execution::No, NotReadyRetryDelay};
}

api_error unauthorizedError(const std::string &message)
{
    return {401, "authentication_error", "invalid_api_key", message, execution::No, std::nullopt};
}

// Customer for whom requests run under the mutations AcceptAnyKey and IgnoreCustomer.
const customer_id &anyCustomer(const config_state &config)
{
    return config.inForce->customers.rbegin()->first;
}

api_error notFoundError(const std::string &path)
{
    return {404,           "invalid_request_error",
            "not_found",   absl::StrCat("there is no resource at ", path),
            execution::No, std::nullopt};
}

} // namespace

const request_dispatcher::api_route request_dispatcher::Routes[] = {
    {"POST", "/v1/chat/completions", &request_dispatcher::serveCompletion},
    {"POST", "/v1/completions", &request_dispatcher::serveCompletion},
    {"GET", "/v1/models", &request_dispatcher::listModels},
    {"GET", "/v1/models/", &request_dispatcher::showModel},
    {"POST", "/v1/files", &request_dispatcher::uploadFile},
    {"GET", "/v1/files", &request_dispatcher::listFiles},
    {"GET", "/v1/files/", &request_dispatcher::showFile},
    {"POST", "/v1/batches", &request_dispatcher::createBatch},
    {"GET", "/v1/batches", &request_dispatcher::listBatches},
    {"GET", "/v1/batches/", &request_dispatcher::showBatch},
    {"POST", "/v1/batches/", &request_dispatcher::cancelBatch},
};

request_dispatcher::request_dispatcher(entry_context &context, io_thread &control,
                                       job_controller &controller)
    : m_context(context), m_completions(context), m_services(context), m_files(control, controller),
      m_batches(control, controller)
{
}

void request_dispatcher::serve(http_exchange &exchange)
{
    const http_request &http = exchange.request();
    caller_request request{exchange, request_id(randomId("req_")), m_context.config.current(), {}};
    m_context.metrics.add("tamarack_requests_total");
    if (auto requestError = checkRoute(http, request.config, request.from)) {
        request.refuse(*requestError);
        return;
    }
    if (auto refusal = checkRate(request.from)) {
        request.refuse(*refusal);
        return;
    }
    bool pathKnown = false;
    if (const api_route *route = findRoute(http, pathKnown))
        (this->*route->handle)(request);
    else
        m_services.serve(request, *request.config->inForce->routeOf(http.path));
    log_event(log_level::Debug, "request")
        .request(request.id.value())
        .customer(request.from.customer.value())
        .with("method", http.method)
        .with("path", http.path);
}

std::optional<api_error> request_dispatcher::checkRate(const caller &from)
{
    // Requests to open routes have no customer.
    if (from.customer.value().empty() || m_context.mutation == shell_mutation::AdmitAll)
        return std::nullopt;
    const limit_verdict verdict = m_context.limits.admit(from.customer);
    m_context.burn.onAdmission(*m_context.config.current(), from.customer, verdict.admitted);
    if (verdict.admitted)
        return std::nullopt;
    return api_error{429,
                     "rate_limit_error",
                     "rate_limit_exceeded",
                     "the customer's rate limit and burst are exceeded",
                     execution::No,
                     verdict.retryAfter};
}

header_verdict request_dispatcher::checkHeader(const http_request &request, std::size_t bodyLimit,
                                               std::size_t fileLimit)
{
    const bool upload = request.method == "POST" && request.path == "/v1/files";
    header_verdict verdict{upload ? fileLimit : bodyLimit, std::nullopt};
    caller from;
    if (auto requestError = checkRoute(request, m_context.config.current(), from))
        verdict.refusal = errorResponse(*requestError, request_id(randomId("req_")));
    return verdict;
}

void request_dispatcher::serveCompletion(const caller_request &request)
{
    m_completions.serve(request);
}

void request_dispatcher::listModels(const caller_request &request)
{
    models_api::list(request);
}

void request_dispatcher::showModel(const caller_request &request)
{
    models_api::show(request);
}

void request_dispatcher::uploadFile(const caller_request &request)
{
    m_files.upload(request);
}

void request_dispatcher::listFiles(const caller_request &request)
{
    m_files.list(request);
}

void request_dispatcher::showFile(const caller_request &request)
{
    m_files.showOrRead(request);
}

void request_dispatcher::createBatch(const caller_request &request)
{
    m_batches.create(request);
}

void request_dispatcher::listBatches(const caller_request &request)
{
    m_batches.list(request);
}

void request_dispatcher::showBatch(const caller_request &request)
{
    m_batches.show(request);
}

void request_dispatcher::cancelBatch(const caller_request &request)
{
    m_batches.cancel(request);
}

const request_dispatcher::api_route *request_dispatcher::findRoute(const http_request &request,
                                                                   bool &pathKnown)
{
    for (const api_route &route : Routes) {
        const bool prefix = route.path.back() == '/';
        const bool matches =
            prefix ? request.path.size() > route.path.size()
                         && request.path.compare(0, route.path.size(), route.path) == 0
                   : request.path == route.path;
        if (!matches)
            continue;
        pathKnown = true;
        if (route.method == request.method)
            return &route;
    }
    return nullptr;
}

request_dispatcher::authentication_result
request_dispatcher::authenticate(const http_request &request, const config_state &config) const
{
    if (m_context.mutation == shell_mutation::AcceptAnyKey)
        return caller{anyCustomer(config), {}};
    const std::string_view header = request.header("authorization");
    if (header.empty())
        return unauthorizedError("an Authorization header with an API key is required");
    if (header.substr(0, BearerPrefix.size()) != BearerPrefix)
        return unauthorizedError("the Authorization header must be 'Bearer KEY'");
    const key_check check = config.keys.check(header.substr(BearerPrefix.size()));
    const auto *accepted = std::get_if<accepted_key>(&check);
    if (accepted == nullptr || config.inForce->customer(accepted->customer) == nullptr)
        return unauthorizedError("the API key is not valid");
    if (m_context.mutation == shell_mutation::IgnoreCustomer)
        return caller{anyCustomer(config), accepted->id};
    return caller{accepted->customer, accepted->id};
}

std::optional<api_error>
request_dispatcher::checkRoute(const http_request &request,
                               const std::shared_ptr<const config_state> &config, caller &from)
{
    if (!config || !config->inForce)
        return notReadyError();
    bool pathKnown = false;
    const api_route *route = findRoute(request, pathKnown);
    const route_options *service =
        route == nullptr && !pathKnown ? config->inForce->routeOf(request.path) : nullptr;
    if (service != nullptr && service->open)
        return std::nullopt;
    const authentication_result authenticated = authenticate(request, *config);
    if (const auto *requestError = std::get_if<api_error>(&authenticated))
        return *requestError;
    from = std::get<caller>(authenticated);
    if (route != nullptr || service != nullptr)
        return std::nullopt;
    if (!pathKnown)
        return notFoundError(request.path);
    api_error error = notFoundError(request.path);
    error.status = 405;
    error.code = "method_not_allowed";
    error.message = absl::StrCat(request.method, " is not allowed at ", request.path);
    return error;
}

} // namespace tamarack
