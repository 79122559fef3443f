#include "checks/json_syntax.h"

#include <set>

#include <nlohmann/json.hpp>

namespace azuremoor
{

namespace
{

using nlohmann::json;

/// Repeated keys after which no more are reported.
constexpr std::size_t MAX_REPEATED_KEYS = 100;

/// Follows the events of the JSON parser and records where it failed and which keys are repeated.
class syntax_listener : public nlohmann::json_sax<json>
{
public:
    explicit syntax_listener(std::string_view text)
        : m_text(text)
    {
    }

    std::vector<finding> takeFindings()
    {
        return std::move(m_findings);
    }

    bool null() override
    {
        return endValue();
    }

    bool boolean(bool /*value*/) override
    {
        return endValue();
    }

    bool number_integer(number_integer_t /*value*/) override
    {
        return endValue();
    }

    bool number_unsigned(number_unsigned_t /*value*/) override
    {
        return endValue();
    }

    bool number_float(number_float_t /*value*/, const string_t & /*text*/) override
    {
        return endValue();
    }

    bool string(string_t & /*value*/) override
    {
        return endValue();
    }

    bool binary(binary_t & /*value*/) override
    {
        return endValue();
    }

    bool start_object(std::size_t /*elements*/) override
    {
        m_levels.emplace_back();
        return true;
    }

    bool key(string_t &name) override
    {
        level &current = m_levels.back();
        current.key = name;
        if (!current.keys.insert(name).second && m_findings.size() < MAX_REPEATED_KEYS) {
            m_findings.push_back({finding_severity::warning,
                                  currentPath(),
                                  std::nullopt,
                                  "the key is given more than once, and only its last value has an effect",
                                  "give the key once"});
        }
        return true;
    }

    bool end_object() override
    {
        m_levels.pop_back();
        return endValue();
    }

    bool start_array(std::size_t /*elements*/) override
    {
        m_levels.emplace_back();
        m_levels.back().isArray = true;
        return true;
    }

    bool end_array() override
    {
        m_levels.pop_back();
        return endValue();
    }

    bool parse_error(std::size_t position, const std::string & /*token*/, const nlohmann::detail::exception &error) override
    {
        const std::size_t offset = position == 0 ? 0 : position - 1;
        m_findings = {{finding_severity::error, {}, positionAt(m_text, offset), reasonOf(error.what()), "JSON as RFC 8259 has it"}};
        return false;
    }

private:
    struct level {
        bool isArray = false;
        std::size_t index = 0;
        std::string key;
        std::set<std::string> keys;
    };

    /// Returns the library's message without its identifier and its own wording of the position.
    static std::string reasonOf(const std::string &message)
    {
        const std::size_t position = message.find(": ");
        const std::size_t identifier = message.find("] ");
        const std::size_t separator = position == std::string::npos ? identifier : position;
        return separator == std::string::npos ? message : message.substr(separator + 2);
    }

    bool endValue()
    {
        if (!m_levels.empty() && m_levels.back().isArray) {
            ++m_levels.back().index;
        }
        return true;
    }

    std::string currentPath() const
    {
        std::string path;
        for (const level &each : m_levels) {
            path += "/" + (each.isArray ? std::to_string(each.index) : each.key);
        }
        return path;
    }

    std::string_view m_text;
    std::vector<level> m_levels;
    std::vector<finding> m_findings;
};

}

std::vector<finding> checkJsonSyntax(std::string_view text, json_comments comments)
{
    syntax_listener listener(text);
    json::sax_parse(text, &listener, json::input_format_t::json, /*strict=*/true, comments == json_comments::allowed);
    return listener.takeFindings();
}

}
