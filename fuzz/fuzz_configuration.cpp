// Feeds the reader of configurations, and with what it accepts, the rules on labels.

#include "configuration/configuration.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    const auto parsed = azuremoor::configuration::parseText(text);
    if (parsed) {
        const std::vector<azuremoor::label> labels = {{"kind", "quote"}, {"rack", "r1"}};
        parsed->allows(labels, parsed->effectiveLabels(labels));
        parsed->isDrained(labels);
    }
    azuremoor::selector::parse(text);
    return 0;
}
