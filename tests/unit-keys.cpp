// Tests of key format, issue, check, withdrawal and redaction.
#include <tamarackglade/keys/issued_key.hpp>
#include <tamarackglade/keys/key_format.hpp>
#include <tamarackglade/keys/key_table.hpp>

#include <doctest/doctest.h>

#include <set>

using namespace tamarack;

namespace {

issued_key newKey()
{
    return issueKey().value();
}

key_refusal refusalOf(const key_check &check)
{
    REQUIRE(std::holds_alternative<key_refusal>(check));
    return std::get<key_refusal>(check);
}

} // namespace

TEST_CASE("a key id has its length and only letters and digits")
{
    CHECK(isKeyId("abcXYZ012789"));
    for (const char *text : {"", "abcXYZ01278", "abcXYZ0127899", "abcXYZ01278-", "abcXYZ01278 ",
                             "tg_abcXYZ012", "tg_abcXYZ012789_"}) {
        CAPTURE(text);
        CHECK_FALSE(isKeyId(text));
    }
}

TEST_CASE("issued keys")
{
    const issued_key key = newKey();
    CHECK(parseKeyId(key.secretText) == key.id);
    CHECK(hashKey(key.secretText) == key.hash);
    std::set<std::string> seen;
    for (int i = 0; i < 200; ++i)
        seen.insert(newKey().secretText);
    CHECK(seen.size() == 200);
}

TEST_CASE("key format")
{
    const std::string good = newKey().secretText;
    CHECK_FALSE(parseKeyId(""));
    CHECK_FALSE(parseKeyId("tg_"));
    CHECK_FALSE(parseKeyId(good + "a"));
    CHECK_FALSE(parseKeyId(good.substr(1)));
    std::string odd = good;
    odd.back() = '-';
    CHECK_FALSE(parseKeyId(odd));
    odd = good;
    odd[3] = '_';
    CHECK_FALSE(parseKeyId(odd));
}

TEST_CASE("key table")
{
    key_table table;
    const issued_key key = newKey();
    table.issue(key.id, {customer_id("shire"), key.hash});

    SUBCASE("accepts the issued key only")
    {
        const key_check check = table.check(key.secretText);
        REQUIRE(std::holds_alternative<accepted_key>(check));
        CHECK(std::get<accepted_key>(check).customer == customer_id("shire"));
        std::string wrong = key.secretText;
        wrong.back() = wrong.back() == 'a' ? 'b' : 'a';
        CHECK(refusalOf(table.check(wrong)) == key_refusal::WrongSecret);
        CHECK(refusalOf(table.check(newKey().secretText)) == key_refusal::Unknown);
        CHECK(refusalOf(table.check("nonsense")) == key_refusal::Malformed);
    }
    SUBCASE("a second issue of an id changes nothing")
    {
        CHECK_FALSE(table.issue(key.id, {customer_id("other"), newKey().hash}));
        CHECK(std::holds_alternative<accepted_key>(table.check(key.secretText)));
    }
    SUBCASE("a withdrawn id can't be issued again")
    {
        CHECK(table.withdraw(key.id));
        CHECK_FALSE(table.withdraw(key.id));
        CHECK_FALSE(table.issue(key.id, {customer_id("shire"), key.hash}));
        CHECK(refusalOf(table.check(key.secretText)) == key_refusal::Withdrawn);
    }
    SUBCASE("a key whose withdrawal was removed can be issued again")
    {
        table.withdraw(key.id);
        table.removeWithdrawal(key.id);
        CHECK(table.issue(key.id, {customer_id("shire"), key.hash}));
        CHECK(std::holds_alternative<accepted_key>(table.check(key.secretText)));
    }
    SUBCASE("a withdrawal may precede the issue")
    {
        const issued_key late = newKey();
        table.withdraw(late.id);
        CHECK_FALSE(table.issue(late.id, {customer_id("shire"), late.hash}));
    }
}

TEST_CASE("redaction")
{
    const issued_key key = newKey();
    const std::string secret = key.secretText.substr(key.secretText.rfind('_') + 1);
    const std::string shown = redactKeys("a=" + key.secretText + ", b=" + key.secretText);
    CHECK(shown.find(secret) == std::string::npos);
    CHECK(shown.find(key.id.value()) != std::string::npos);
    CHECK(redactKeys("tg_ab_cut").find("cut") == std::string::npos);
    CHECK(redactKeys("no key, tg_ neither") == "no key, tg_ neither");
}
