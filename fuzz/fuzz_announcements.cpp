// Feeds the reader of announcements.

#include "agent/announcement_json.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    azuremoor::parseAnnouncement(std::string_view(reinterpret_cast<const char *>(data), size));
    return 0;
}
