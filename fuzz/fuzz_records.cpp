// Feeds the reader of control records, and the agreed state with what it accepts.

#include <cstdlib>

#include "fleet/fleet_state.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string text(reinterpret_cast<const char *>(data), size);
    azuremoor::fleet_state state;
    state.apply({1, text});
    azuremoor::fleet_state other;
    if (!other.restoreIfNewer(state.encode()) || other.encode() != state.encode()) {
        std::abort();
    }
    other.restoreIfNewer(text);
    return 0;
}
