#include "configuration/selector.h"

#include <algorithm>
#include <cctype>

namespace azuremoor
{

/// Recursive descent parser for selectors.
class selector_parser
{
public:
    explicit selector_parser(std::string_view text)
        : m_text(text)
    {
    }

    tl::expected<selector, selector_error> parse()
    {
        selector result;
        result.m_text = std::string(m_text);
        skipSpace();
        if (atEnd()) {
            return result;
        }
        while (true) {
            auto requirement = parseRequirement();
            if (!requirement) {
                return tl::unexpected(requirement.error());
            }
            result.m_requirements.push_back(std::move(*requirement));
            if (atEnd()) {
                return result;
            }
            if (!consume(',')) {
                return makeError("expected a comma between requirements");
            }
        }
    }

private:
    using requirement_result = tl::expected<selector::label_requirement, selector_error>;

    requirement_result parseRequirement()
    {
        selector::label_requirement requirement;
        const bool negated = consume('!');
        requirement.key = consumeWord();
        if (requirement.key.empty()) {
            return makeError("expected a label key");
        }
        if (negated) {
            requirement.matchOperator = selector::match_operator::absent;
            return requirement;
        }
        if (consume('!')) {
            return parseEquality(std::move(requirement), selector::match_operator::not_in);
        }
        if (isNext('=')) {
            return parseEquality(std::move(requirement), selector::match_operator::in);
        }
        return parseSetOrExistence(std::move(requirement));
    }

    requirement_result parseEquality(selector::label_requirement requirement, selector::match_operator matchOperator)
    {
        if (!consume('=')) {
            return makeError("expected '='");
        }
        consume('=');
        requirement.matchOperator = matchOperator;
        requirement.values.push_back(consumeWord());
        return requirement;
    }

    requirement_result parseSetOrExistence(selector::label_requirement requirement)
    {
        const std::size_t start = m_position;
        const std::string word = consumeWord();
        if (word.empty()) {
            return requirement;
        }
        if (word != "in" && word != "notin") {
            m_position = start;
            return makeError("expected '=', '!=', 'in', 'notin' or a comma");
        }
        requirement.matchOperator = word == "in" ? selector::match_operator::in : selector::match_operator::not_in;
        if (!consume('(')) {
            return makeError("expected '(' before the values");
        }
        do {
            requirement.values.push_back(consumeWord());
        } while (consume(','));
        if (!consume(')')) {
            return makeError("expected ')' after the values");
        }
        return requirement;
    }

    tl::unexpected<selector_error> makeError(std::string reason) const
    {
        return tl::unexpected(selector_error{m_position, std::move(reason)});
    }

    bool atEnd() const
    {
        return m_position >= m_text.size();
    }

    bool isNext(char expected) const
    {
        return !atEnd() && m_text[m_position] == expected;
    }

    /// Consumes the character, if it is next, and the white space after it. Returns whether it was next.
    bool consume(char expected)
    {
        if (!isNext(expected)) {
            return false;
        }
        ++m_position;
        skipSpace();
        return true;
    }

    /// Consumes the longest word, which may be empty, and the white space after it. Returns the word.
    std::string consumeWord()
    {
        const std::size_t start = m_position;
        while (!atEnd() && isWordCharacter(m_text[m_position])) {
            ++m_position;
        }
        std::string word(m_text.substr(start, m_position - start));
        skipSpace();
        return word;
    }

    void skipSpace()
    {
        while (!atEnd() && std::isspace(static_cast<unsigned char>(m_text[m_position])) != 0) {
            ++m_position;
        }
    }

    static bool isWordCharacter(char character)
    {
        return std::isalnum(static_cast<unsigned char>(character)) != 0 || character == '-' || character == '_' || character == '.'
            || character == '/';
    }

    std::string_view m_text;
    std::size_t m_position = 0;
};

tl::expected<selector, selector_error> selector::parse(std::string_view text)
{
    return selector_parser(text).parse();
}

bool selector::matches(std::span<const label> labels) const
{
    return std::all_of(m_requirements.begin(), m_requirements.end(), [labels](const label_requirement &requirement) {
        return isSatisfied(requirement, labels);
    });
}

bool selector::isEmpty() const
{
    return m_requirements.empty();
}

const std::vector<selector::label_requirement> &selector::requirements() const
{
    return m_requirements;
}

const std::string &selector::text() const
{
    return m_text;
}

bool selector::isSatisfied(const label_requirement &requirement, std::span<const label> labels)
{
    const auto found
        = std::find_if(labels.begin(), labels.end(), [&requirement](const label &candidate) { return candidate.key == requirement.key; });
    const bool present = found != labels.end();
    const bool listed
        = present && std::find(requirement.values.begin(), requirement.values.end(), found->value) != requirement.values.end();
    switch (requirement.matchOperator) {
    case match_operator::in:
        return listed;
    case match_operator::not_in:
        return !listed;
    case match_operator::exists:
        return present;
    case match_operator::absent:
        break;
    }
    return !present;
}

}
