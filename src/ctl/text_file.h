#ifndef AZUREMOOR_CTL_TEXT_FILE_H
#define AZUREMOOR_CTL_TEXT_FILE_H

#include <optional>
#include <string>

namespace azuremoor
{

/// Returns the content of the file, or of standard input for the name `-`; nothing when it cannot be read.
std::optional<std::string> readTextFile(const std::string &name);

}

#endif
