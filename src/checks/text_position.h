#ifndef AZUREMOOR_CHECKS_TEXT_POSITION_H
#define AZUREMOOR_CHECKS_TEXT_POSITION_H

#include <cstddef>
#include <string_view>

namespace azuremoor
{

/// A place in a text, as editors count it.
struct text_position {
    /// Line, from 1.
    std::size_t line = 1;
    /// Byte in the line, from 1.
    std::size_t column = 1;

    bool operator==(const text_position &) const = default;
};

/// Returns the position of the byte at the offset. Offsets past the end give the position after the last byte.
text_position positionAt(std::string_view text, std::size_t offset);

}

#endif
