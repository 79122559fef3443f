#include "settings/settings_parser.h"

#include <algorithm>
#include <cctype>
#include <iostream>

#include "transport/http_client.h"
#include "transport/socket_address.h"

namespace azuremoor
{

namespace
{

constexpr std::size_t MAX_NAME_LENGTH = 64;

std::string environmentName(const std::string &flag)
{
    std::string name = "AZUREMOOR_";
    for (const char character : flag.substr(2)) {
        name += character == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(character)));
    }
    return name;
}

std::string oneLine(std::string text)
{
    while (!text.empty() && text.back() == '\n') {
        text.pop_back();
    }
    std::replace(text.begin(), text.end(), '\n', ' ');
    return text;
}

std::string checkAddress(const std::string &text)
{
    return socket_address::parse(text) ? "" : text + " is not an IP number with a port";
}

std::string checkUrl(const std::string &text)
{
    return http_url::parse(text) ? "" : text + " is not an http:// address with an IP number and a port";
}

std::string checkName(const std::string &text)
{
    const bool allowed = std::all_of(text.begin(), text.end(), [](unsigned char character) {
        return std::isalnum(character) != 0 || character == '-' || character == '.' || character == '_';
    });
    return allowed && !text.empty() && text.size() <= MAX_NAME_LENGTH
        ? ""
        : "'" + text + "' is not a name of letters, digits, dashes, dots and underscores";
}

}

settings_parser::settings_parser(std::string program, const std::string &purpose)
    : m_app(purpose, std::move(program))
{
    m_app.set_version_flag("--version", AZUREMOOR_VERSION);
    m_app.add_flag("--check", m_check, "Check the settings and exit")->group("General");
    m_app.get_formatter()->column_width(46);
}

void settings_parser::beginGroup(const std::string &heading)
{
    m_group = heading;
}

CLI::Option *settings_parser::addText(const std::string &flag, std::string &value, const std::string &help)
{
    return finish(m_app.add_option(flag, value, help), flag);
}

CLI::Option *
settings_parser::addNumber(const std::string &flag, std::int64_t &value, std::int64_t lowest, std::int64_t highest, const std::string &help)
{
    return finish(m_app.add_option(flag, value, help)->check(CLI::Range(lowest, highest)), flag);
}

CLI::Option *settings_parser::addFraction(const std::string &flag, double &value, double lowest, double highest, const std::string &help)
{
    return finish(m_app.add_option(flag, value, help)->check(CLI::Range(lowest, highest)), flag);
}

CLI::Option *settings_parser::addAddress(const std::string &flag, std::string &value, const std::string &help)
{
    return finish(m_app.add_option(flag, value, help)->check(CLI::Validator(checkAddress, "IP:PORT")), flag);
}

CLI::Option *settings_parser::addUrl(const std::string &flag, std::string &value, const std::string &help)
{
    return finish(m_app.add_option(flag, value, help)->check(CLI::Validator(checkUrl, "http://IP:PORT")), flag);
}

CLI::Option *settings_parser::addName(const std::string &flag, std::string &value, const std::string &help)
{
    return finish(m_app.add_option(flag, value, help)->check(CLI::Validator(checkName, "NAME")), flag);
}

CLI::Option *settings_parser::addAddresses(const std::string &flag, std::vector<std::string> &values, const std::string &help)
{
    return finish(m_app.add_option(flag, values, help)->delimiter(',')->check(CLI::Validator(checkAddress, "IP:PORT")), flag);
}

CLI::Option *settings_parser::addUrls(const std::string &flag, std::vector<std::string> &values, const std::string &help)
{
    return finish(m_app.add_option(flag, values, help)->delimiter(',')->check(CLI::Validator(checkUrl, "http://IP:PORT")), flag);
}

CLI::Option *
settings_parser::addChoice(const std::string &flag, std::string &value, const std::vector<std::string> &choices, const std::string &help)
{
    return finish(m_app.add_option(flag, value, help)->check(CLI::IsMember(choices)), flag);
}

void settings_parser::demand(std::function<bool()> holds, const std::string &flag, const std::string &reason)
{
    m_conditions.push_back({std::move(holds), flag, reason});
}

std::optional<int> settings_parser::parse(int argc, char **argv)
{
    try {
        m_app.parse(argc, argv);
    } catch (const CLI::Success &success) {
        return m_app.exit(success);
    } catch (const CLI::ParseError &error) {
        std::cerr << m_app.get_name() << ": " << oneLine(error.what()) << std::endl;
        return WRONG_SETTINGS_STATUS;
    }
    for (const condition &demanded : m_conditions) {
        if (!demanded.holds()) {
            std::cerr << m_app.get_name() << ": " << demanded.flag << ": " << demanded.reason << std::endl;
            return WRONG_SETTINGS_STATUS;
        }
    }
    if (m_check) {
        std::cout << "the settings are valid" << std::endl;
        return 0;
    }
    return std::nullopt;
}

CLI::App &settings_parser::app()
{
    return m_app;
}

CLI::Option *settings_parser::finish(CLI::Option *option, const std::string &flag)
{
    return option->envname(environmentName(flag))->group(m_group)->capture_default_str();
}

}
