// Tests of orders to upstreams: fencing and the weight store's rate.
#include <tamarackglade/orders/order_desk.hpp>

#include <doctest/doctest.h>

using namespace tamarack;
using namespace std::chrono_literals;

namespace {

const instant Start{1h};
const connection_id From(1);

schema::upstream_order_message orderOf(const std::string &id, std::uint64_t fence,
                                       schema::order_kind kind = schema::order_kind::LoadModel)
{
    schema::upstream_order_message order;
    order.order_id = id;
    order.fence = fence;
    order.kind = kind;
    return order;
}

bool gives(const order_actions &actions)
{
    return !actions.empty() && std::holds_alternative<give_order>(actions.back());
}

bool refuses(const order_actions &actions)
{
    return actions.size() == 1 && std::holds_alternative<answer_order>(actions[0])
           && !std::get<answer_order>(actions[0]).answer.accepted;
}

order_desk makeDesk(order_mutation mutation = order_mutation::None)
{
    return {weight_store_limiter(10s, 1), 2, mutation};
}

/// @return whether an order with an old fencing number reaches the upstream
bool givesOldOrder(order_mutation mutation)
{
    auto desk = makeDesk(mutation);
    desk.onFenceLearned(fence_number(7), Start);
    return gives(desk.onOrder(orderOf("old", 6), From, Start));
}

} // namespace

TEST_CASE("orders with an old fencing number end at the side")
{
    CHECK_FALSE(givesOldOrder(order_mutation::None));
    CHECK(givesOldOrder(order_mutation::IgnoreFence));
}

TEST_CASE("order desk")
{
    auto desk = makeDesk();

    SUBCASE("refuses all orders until it knows the fence")
    {
        CHECK(refuses(desk.onOrder(orderOf("a", 9), From, Start)));
        desk.onFenceLearned(fence_number(7), Start);
        CHECK(gives(desk.onOrder(orderOf("a", 9), From, Start)));
        CHECK(desk.fence() == fence_number(9));
    }
    SUBCASE("drops waiting orders when a newer one comes")
    {
        desk.onFenceLearned(fence_number(1), Start);
        CHECK(gives(desk.onOrder(orderOf("a", 1), From, Start)));
        CHECK(desk.onOrder(orderOf("b", 1), From, Start).empty());
        CHECK(refuses(desk.onOrder(orderOf("c", 2), From, Start)));
        const auto done = desk.onDone("a", true, "", Start);
        CHECK(done.size() == 1);
        CHECK(gives(desk.tick(Start + 10s)));
    }
    SUBCASE("spaces out loads but not changes of role")
    {
        desk.onFenceLearned(fence_number(1), Start);
        desk.onOrder(orderOf("a", 1), From, Start);
        desk.onDone("a", true, "", Start);
        CHECK(desk.onOrder(orderOf("b", 1), From, Start + 1s).empty());
        CHECK(desk.nextDeadline(Start + 1s) > Start + 9s);
        CHECK(desk.tick(Start + 9s).empty());
        CHECK(gives(desk.tick(*desk.nextDeadline(Start + 1s))));
        desk.onDone("b", true, "", Start + 11s);
        const auto role = orderOf("r", 1, schema::order_kind::ChangeRole);
        CHECK(gives(desk.onOrder(role, From, Start + 11s)));
    }
    SUBCASE("answers a repeated order without giving it again")
    {
        desk.onFenceLearned(fence_number(1), Start);
        desk.onOrder(orderOf("a", 1), From, Start);
        CHECK(desk.onOrder(orderOf("a", 1), From, Start).empty());
        desk.onDone("a", true, "", Start);
        const auto again = desk.onOrder(orderOf("a", 1), connection_id(2), Start);
        REQUIRE(again.size() == 1);
        CHECK(std::get<answer_order>(again[0]).answer.accepted);
    }
    SUBCASE("refuses more orders than it holds")
    {
        desk.onFenceLearned(fence_number(1), Start);
        for (const auto *id : {"a", "b", "c"})
            CHECK_FALSE(refuses(desk.onOrder(orderOf(id, 1), From, Start)));
        CHECK(refuses(desk.onOrder(orderOf("d", 1), From, Start)));
    }
}
