#include <iostream>

#include "agent/agent_service.h"

int main(int argc, char **argv)
{
    azuremoor::agent_settings settings;
    azuremoor::settings_parser parser("azuremoor-agent",
                                      "Runs beside one upstream: starts its tasks, remembers them, and refuses what must not start");
    settings.declare(parser);
    if (const auto status = parser.parse(argc, argv)) {
        return *status;
    }
    try {
        return azuremoor::agent_service(settings).run();
    } catch (const std::exception &error) {
        std::cerr << "azuremoor-agent: " << error.what() << std::endl;
        return 1;
    }
}
