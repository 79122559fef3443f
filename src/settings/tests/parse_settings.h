#ifndef AZUREMOOR_SETTINGS_TESTS_PARSE_SETTINGS_H
#define AZUREMOOR_SETTINGS_TESTS_PARSE_SETTINGS_H

#include <algorithm>
#include <iostream>
#include <map>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "settings/settings_parser.h"

namespace azuremoor::testing
{

/// What a parser made of arguments.
struct parse_result {
    std::optional<int> status;
    std::string errors;
};

/// Declares the settings and parses the arguments. Adds the names of all flags to the set, if there is one.
template<typename Settings>
parse_result parseSettings(std::vector<std::string> arguments, std::set<std::string> *flags = nullptr)
{
    Settings settings;
    settings_parser parser("program", "test");
    settings.declare(parser);
    if (flags != nullptr) {
        for (const CLI::Option *option : parser.app().get_options()) {
            flags->insert(option->get_name());
        }
    }
    arguments.insert(arguments.begin(), "program");
    std::vector<char *> pointers;
    for (std::string &argument : arguments) {
        pointers.push_back(argument.data());
    }
    std::ostringstream captured;
    std::streambuf *before = std::cerr.rdbuf(captured.rdbuf());
    const std::optional<int> status = parser.parse(static_cast<int>(pointers.size()), pointers.data());
    std::cerr.rdbuf(before);
    return {status, captured.str()};
}

/// Checks that good settings are accepted, that the table has a bad value for each flag, and that each of them ends with one line.
template<typename Settings>
void checkBadValues(const std::vector<std::string> &good, const std::map<std::string, std::string> &table)
{
    std::set<std::string> flags;
    CHECK(!parseSettings<Settings>(good, &flags).status);
    for (const std::string own : {"--help", "--version", "--check"}) {
        flags.erase(own);
    }
    for (const std::string &flag : flags) {
        REQUIRE_MESSAGE(table.contains(flag), flag);
    }
    for (const auto &[flag, value] : table) {
        std::vector<std::string> arguments = good;
        arguments.insert(arguments.end(), {flag, value});
        const parse_result result = parseSettings<Settings>(arguments);
        CHECK_MESSAGE(result.status == WRONG_SETTINGS_STATUS, flag);
        // A contradiction may be named by the other flag that it is with.
        CHECK_MESSAGE(result.errors.find("--") != std::string::npos, (flag + ": " + result.errors));
        CHECK_MESSAGE(std::count(result.errors.begin(), result.errors.end(), '\n') == 1, result.errors);
    }
}

}

#endif
