// Tests of the queue between a call's answer and its caller.
#include <tamarackglade/entry/answer_channel.hpp>

#include <doctest/doctest.h>

#include <string>

using namespace tamarack;

namespace {

constexpr std::size_t Small = answer_channel::SmallBytes;
constexpr std::size_t Limit = 3 * Small;

answer_data dataOf(std::size_t bytes)
{
    return {std::string(bytes, 'x')};
}

} // namespace

TEST_CASE("an answer that exceeds the budget of unread answers ends with an error")
{
    const auto budget = std::make_shared<answer_budget>(Limit);
    {
        answer_channel large(budget);
        answer_channel other(budget);
        large.push(answer_head{200, "text/event-stream"});
        large.push(dataOf(Limit));
        CHECK_FALSE(large.hasOverflowed());
        other.push(dataOf(Small));
        CHECK_FALSE(other.hasOverflowed());
        large.push(dataOf(1));
        CHECK(large.hasOverflowed());
        CHECK(budget->used() == Small);
        large.push(dataOf(1));
        const auto end = large.tryPop();
        REQUIRE(end);
        REQUIRE(std::holds_alternative<answer_end>(*end));
        CHECK(std::get<answer_end>(*end).error);
        CHECK_FALSE(large.tryPop());
        CHECK(other.tryPop());
        CHECK(budget->used() == 0);
        other.push(dataOf(Limit));
        CHECK_FALSE(other.hasOverflowed());
    }
    CHECK(budget->used() == 0);
}
