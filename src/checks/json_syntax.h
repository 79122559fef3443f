#ifndef AZUREMOOR_CHECKS_JSON_SYNTAX_H
#define AZUREMOOR_CHECKS_JSON_SYNTAX_H

#include <string_view>
#include <vector>

#include "checks/finding.h"

namespace azuremoor
{

/// Whether a JSON text may contain comments.
enum class json_comments {
    refused,
    allowed,
};

/// Returns the first syntax error of the text with its line and column, or a warning for each key that an object contains twice: the
/// decoders take the last value of such a key, so the earlier ones have no effect.
std::vector<finding> checkJsonSyntax(std::string_view text, json_comments comments);

}

#endif
