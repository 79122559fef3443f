#include <doctest/doctest.h>

#include "configuration/configuration.h"

using namespace azuremoor;

namespace
{

bool matches(const std::string &text, const std::vector<label> &labels)
{
    const auto parsed = selector::parse(text);
    REQUIRE(parsed);
    return parsed->matches(labels);
}

}

TEST_CASE("each kind of requirement matches as in Kubernetes")
{
    const std::vector<label> labels = {{"kind", "quote"}, {"dc", "hall-north"}};
    CHECK(matches("", labels));
    CHECK(matches("kind=quote", labels));
    CHECK(matches("kind==quote", labels));
    CHECK(!matches("kind=receipt", labels));
    CHECK(matches("kind!=receipt", labels));
    CHECK(matches("absent!=x", labels));
    CHECK(matches("kind in (quote, receipt)", labels));
    CHECK(!matches("absent in (x)", labels));
    CHECK(matches("kind notin (receipt)", labels));
    CHECK(matches("absent notin (x)", labels));
    CHECK(matches("kind", labels));
    CHECK(matches("!absent", labels));
    CHECK(!matches("!kind", labels));
    CHECK(matches(" kind = quote , dc in (hall-north,hall-south) , !rack ", labels));
    CHECK(!matches("kind=quote,dc=hall-south", labels));
}

TEST_CASE("an invalid selector is rejected with the position of the error")
{
    for (const std::string text : {"=x", "a in b", "a in (b", "a=b c", "a ~ b", ",", "a=b,", "!"}) {
        CHECK_MESSAGE(!selector::parse(text), text);
    }
    CHECK(selector::parse("kind like quote").error().position == 5);
}

TEST_CASE("all sections of a configuration are parsed, and comments are allowed")
{
    const auto parsed = configuration::parseText(R"json({
        // Comments are allowed.
        "teams": {"washing": {"weight": 2, "running_tasks": 40}, "alerts": {}},
        "rules": [{"work": "kind=wash", "upstreams": "cellar in (cave-a, cave-b)"}],
        "labels": [{"upstreams": "upstream=desk-1", "set": {"cellar": "cave-b"}}],
        "drains": ["rack=r1"]
    })json");
    REQUIRE(parsed);
    CHECK(parsed->team("washing")->weight == 2);
    CHECK(parsed->team("washing")->maxRunningTasks == 40);
    CHECK(parsed->team("default") != nullptr);
    CHECK(parsed->team("nobody") == nullptr);
    const std::vector<label> wash = {{"kind", "wash"}};
    const std::vector<label> caveA = {{"cellar", "cave-a"}};
    const std::vector<label> caveC = {{"cellar", "cave-c"}};
    CHECK(parsed->allows(wash, caveA));
    CHECK(!parsed->allows(wash, caveC));
    CHECK(parsed->allows(std::vector<label>{{"kind", "alert"}}, caveC));
    CHECK(parsed->effectiveLabels({{"upstream", "desk-1"}, {"cellar", "cave-c"}})[1].value == "cave-b");
    CHECK(parsed->isDrained(std::vector<label>{{"rack", "r1"}}));
    CHECK(!parsed->isDrained(std::vector<label>{{"rack", "r2"}}));
}

TEST_CASE("each error in a configuration is reported with its location")
{
    const std::vector<std::pair<std::string, std::string>> mistakes = {
        {R"([])", "/"},
        {R"({"team": {}})", "/team"},
        {R"({"teams": []})", "/teams"},
        {R"({"teams": {"a": 1}})", "/teams/a"},
        {R"({"teams": {"a": {"weight": 0}}})", "/teams/a/weight"},
        {R"({"teams": {"a": {"running_tasks": -1}}})", "/teams/a/running_tasks"},
        {R"({"teams": {"a": {"quota": 1}}})", "/teams/a/quota"},
        {R"({"rules": {}})", "/rules"},
        {R"({"rules": [{"work": "a"}]})", "/rules/0"},
        {R"({"rules": [{"work": "a", "upstreams": "b in"}]})", "/rules/0/upstreams"},
        {R"({"rules": [{"work": "a", "upstreams": "b", "extra": 1}]})", "/rules/0/extra"},
        {R"({"labels": [{"upstreams": "a", "set": {"b": 1}}]})", "/labels/0/set/b"},
        {R"({"drains": [""]})", "/drains/0"},
        {R"({"drains": [1]})", "/drains/0"},
        {R"({"teams": )", "/"},
    };
    for (const auto &[text, location] : mistakes) {
        const auto parsed = configuration::parseText(text);
        REQUIRE_MESSAGE(!parsed, text);
        CHECK_MESSAGE(parsed.error().location == location, text);
        CHECK(!parsed.error().reason.empty());
    }
    // Texts over the size limit and over the depth limit. Both would also be rejected without the limits.
    CHECK(!configuration::parseText(std::string(2'000'000, ' ')));
    CHECK(!configuration::parseText(std::string(1000, '[') + std::string(1000, ']')));
}
