// Serializes the models of the active manifest.
#include <tamarackglade/entry/models_api.hpp>

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace tamarack {

namespace {

constexpr std::string_view ModelsPrefix = "/v1/models/";

nlohmann::ordered_json modelJson(const model_id &id)
{
    nlohmann::ordered_json model;
    model["id"] = id.value();
    model["object"] = "model";
    model["created"] = 0;
    model["owned_by"] = "tamarackglade";
    return model;
}

bool mayUse(const caller_request &request, const model_id &id)
{
    const customer_options *customer = request.config->inForce->customer(request.from.customer);
    return customer != nullptr && customer->mayUse(id);
}

} // namespace

void models_api::list(const caller_request &request)
{
    nlohmann::ordered_json body;
    body["object"] = "list";
    body["data"] = nlohmann::ordered_json::array();
    for (const auto &[id, options] : request.config->inForce->models) {
        if (mayUse(request, id))
            body["data"].push_back(modelJson(id));
    }
    http_response response;
    response.body = body.dump();
    request.exchange.respond(response);
}

void models_api::show(const caller_request &request)
{
    const model_id id(request.exchange.request().path.substr(ModelsPrefix.size()));
    if (request.config->inForce->model(id) == nullptr || !mayUse(request, id)) {
        api_error error = invalidRequest(
            "model_not_found", absl::StrCat("the model '", id.value(), "' does not exist"));
        error.status = 404;
        request.refuse(error);
        return;
    }
    http_response response;
    response.body = modelJson(id).dump();
    request.exchange.respond(response);
}

} // namespace tamarack
