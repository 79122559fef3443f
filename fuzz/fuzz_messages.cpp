// Feeds the decoder of messages. What it accepts must encode to something that it accepts again.

#include <cstdlib>

#include "messages/codec.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const auto decoded = azuremoor::decodeMessage(std::span(reinterpret_cast<const char *>(data), size));
    if (decoded && !azuremoor::decodeMessage(azuremoor::encodeMessage(*decoded))) {
        std::abort();
    }
    return 0;
}
