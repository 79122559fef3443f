#ifndef AZUREMOOR_SETTINGS_SETTINGS_PARSER_H
#define AZUREMOOR_SETTINGS_SETTINGS_PARSER_H

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>

namespace azuremoor
{

/// Exit status of a process whose settings are wrong.
constexpr int WRONG_SETTINGS_STATUS = 2;

/**
 * Declares and reads the settings of a process: each a flag, and an environment variable named after it.
 *
 * Settings are checked together. The first thing that is wrong ends the start with one line that names the flag.
 */
class settings_parser
{
public:
    /// Takes the name and the purpose of the program, for its help.
    settings_parser(std::string program, const std::string &purpose);

    /// Puts the settings that are declared next under a heading of the help.
    void beginGroup(const std::string &heading);

    /// Declares a text.
    CLI::Option *addText(const std::string &flag, std::string &value, const std::string &help);

    /// Declares a whole number within bounds.
    CLI::Option *
    addNumber(const std::string &flag, std::int64_t &value, std::int64_t lowest, std::int64_t highest, const std::string &help);

    /// Declares a number that may have a fraction, within bounds.
    CLI::Option *addFraction(const std::string &flag, double &value, double lowest, double highest, const std::string &help);

    /// Declares an address by IP number and port.
    CLI::Option *addAddress(const std::string &flag, std::string &value, const std::string &help);

    /// Declares an `http://` address with an IP number.
    CLI::Option *addUrl(const std::string &flag, std::string &value, const std::string &help);

    /// Declares a name: letters, digits, dashes, dots and underscores.
    CLI::Option *addName(const std::string &flag, std::string &value, const std::string &help);

    /// Declares a list of addresses, separated by commas.
    CLI::Option *addAddresses(const std::string &flag, std::vector<std::string> &values, const std::string &help);

    /// Declares a list of `http://` addresses, separated by commas.
    CLI::Option *addUrls(const std::string &flag, std::vector<std::string> &values, const std::string &help);

    /// Declares a choice among words.
    CLI::Option *addChoice(const std::string &flag, std::string &value, const std::vector<std::string> &choices, const std::string &help);

    /// Demands that a condition between settings holds.
    void demand(std::function<bool()> holds, const std::string &flag, const std::string &reason);

    /// Reads the arguments and the environment. Returns the exit status when the process is to end at once.
    std::optional<int> parse(int argc, char **argv);

    /// Returns the parser itself, for programs with commands.
    CLI::App &app();

private:
    struct condition {
        std::function<bool()> holds;
        std::string flag;
        std::string reason;
    };

    CLI::Option *finish(CLI::Option *option, const std::string &flag);

    CLI::App m_app;
    std::string m_group = "General";
    bool m_check = false;
    std::vector<condition> m_conditions;
};

}

#endif
