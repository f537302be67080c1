// Tests of the JSON that a side exchanges with its upstream's order endpoint.
#include <tamarackglade/side/order_messages.hpp>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace tamarack;

namespace {

absl::StatusOr<http_response> makeResponse(unsigned status, const std::string &body = "{}")
{
    http_response response;
    response.status = status;
    response.body = body;
    return response;
}

order_outcome outcomeOf(const absl::StatusOr<http_response> &response)
{
    return readOrderAnswer(response).outcome;
}

} // namespace

TEST_CASE("an order as JSON")
{
    const upstream_order order{"o1", fence_number(7), schema::order_kind::LoadVersion, "v \"2\""};
    const auto json = nlohmann::json::parse(orderJson(order));
    CHECK(json["order_id"] == "o1");
    CHECK(json["fence"] == 7);
    CHECK(json["kind"] == "load_version");
    CHECK(json["argument"] == "v \"2\"");
}

TEST_CASE("outcomes of the upstream's answers to orders")
{
    CHECK(outcomeOf(makeResponse(200)) == order_outcome::Done);
    for (const unsigned status : {400U, 404U, 409U})
        CHECK(outcomeOf(makeResponse(status)) == order_outcome::Refused);
    for (const unsigned status : {429U, 500U, 503U})
        CHECK(outcomeOf(makeResponse(status)) == order_outcome::Busy);
    CHECK(outcomeOf(absl::UnavailableError("no connection")) == order_outcome::NotSent);
    CHECK(outcomeOf(absl::AbortedError("cut")) == order_outcome::Unknown);
    CHECK(outcomeOf(absl::DeadlineExceededError("late")) == order_outcome::Unknown);
    CHECK(readOrderAnswer(makeResponse(409, R"({"error":{"message":"old"}})")).message == "old");
    for (const auto *body : {"", "[", "[]", R"({"error":3})", R"({"error":{"message":3}})"})
        CHECK(readOrderAnswer(makeResponse(409, body)).message == "the upstream answered 409");
}

TEST_CASE("the upstream's state")
{
    SUBCASE("with a highest fence")
    {
        const auto state = readUpstreamState(makeResponse(
            200, R"({"highest_fence":9,"in_force":[{"order_id":"a"},{"order_id":3},5,{}]})"));
        REQUIRE(state.ok());
        CHECK(state->highestFence == fence_number(9));
        CHECK(state->inForce == std::vector<std::string>{"a"});
    }
    SUBCASE("without one")
    {
        const auto state = readUpstreamState(makeResponse(200, R"({"in_force":[]})"));
        REQUIRE(state.ok());
        CHECK(state->highestFence == fence_number(0));
    }
    SUBCASE("that can't be used")
    {
        for (const auto *body : {"", "{", "[]", "{}", R"({"in_force":{}})"})
            CHECK_FALSE(readUpstreamState(makeResponse(200, body)).ok());
        CHECK_FALSE(readUpstreamState(makeResponse(200, std::string(100'000, '['))).ok());
        CHECK_FALSE(readUpstreamState(makeResponse(404)).ok());
        CHECK_FALSE(readUpstreamState(absl::UnavailableError("no connection")).ok());
    }
}
