#include "checks/text_position.h"

#include <algorithm>

namespace azuremoor
{

text_position positionAt(std::string_view text, std::size_t offset)
{
    const std::string_view before = text.substr(0, std::min(offset, text.size()));
    const std::size_t lastBreak = before.rfind('\n');
    const std::size_t lineStart = lastBreak == std::string_view::npos ? 0 : lastBreak + 1;
    const auto breaks = static_cast<std::size_t>(std::count(before.begin(), before.end(), '\n'));
    return {breaks + 1, before.size() - lineStart + 1};
}

}
