#include <iostream>

#include "entry/entry_service.h"

int main(int argc, char **argv)
{
    azuremoor::entry_settings settings;
    azuremoor::settings_parser parser("azuremoor-entry", "Takes jobs from callers, owns them, and places their tasks on workers");
    settings.declare(parser);
    if (const auto status = parser.parse(argc, argv)) {
        return *status;
    }
    try {
        return azuremoor::entry_service(settings).run();
    } catch (const std::exception &error) {
        std::cerr << "azuremoor-entry: " << error.what() << std::endl;
        return 1;
    }
}
