#ifndef AZUREMOOR_CONFIGURATION_SELECTOR_H
#define AZUREMOOR_CONFIGURATION_SELECTOR_H

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "messages/job_request.h"

namespace azuremoor
{

/// Error found while parsing a selector.
struct selector_error {
    /// Byte offset in the text at which parsing failed.
    std::size_t position = 0;
    std::string reason;
};

/**
 * A label selector as in Kubernetes: comma-separated requirements, all of which must be met.
 *
 * A requirement is one of `key=value`, `key!=value`, `key in (a, b)`, `key notin (a, b)`, `key` and `!key`. `==` means the same
 * as `=`. Keys and values consist of ASCII letters, digits, `-`, `_`, `.` and `/`; a value may be empty. As in Kubernetes, `!=`
 * and `notin` also match if the key is absent. The empty selector matches everything.
 */
class selector
{
public:
    /// How a requirement restricts the values of its key.
    enum class match_operator {
        in,
        not_in,
        exists,
        absent,
    };

    /// One of the requirements, all of which must be met.
    struct label_requirement {
        std::string key;
        match_operator matchOperator = match_operator::exists;
        /// Values of `in` and `not_in`; empty for the other operators.
        std::vector<std::string> values;
    };

    /// Parses the text, or returns the first error.
    static tl::expected<selector, selector_error> parse(std::string_view text);

    /// Returns whether the labels meet every requirement.
    bool matches(std::span<const label> labels) const;

    /// Returns whether the selector has no requirements.
    bool isEmpty() const;

    /// Returns the requirements in the order of the text.
    const std::vector<label_requirement> &requirements() const;

    /// Returns the text that the selector was parsed from.
    const std::string &text() const;

private:
    friend class selector_parser;

    static bool isSatisfied(const label_requirement &requirement, std::span<const label> labels);

    std::string m_text;
    std::vector<label_requirement> m_requirements;
};

}

#endif
