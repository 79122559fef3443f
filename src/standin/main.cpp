#include <csignal>
#include <iostream>

#include "settings/settings_parser.h"
#include "standin/log_standin.h"
#include "standin/upstream_standin.h"

namespace
{

struct standin_settings {
    std::string role;
    std::string http = "127.0.0.1:0";
    std::vector<std::string> labels;
    azuremoor::upstream_standin_settings upstream;
};

void declare(azuremoor::settings_parser &parser, standin_settings &settings)
{
    parser.beginGroup("Stand-in");
    parser.addChoice("--role", settings.role, {"log", "upstream"}, "What to stand in for")->required();
    parser.addAddress("--http", settings.http, "Address for HTTP; port 0 for any");
    parser.beginGroup("Upstream");
    parser.addName("--name", settings.upstream.name, "Name that the upstream announces");
    parser.addUrl("--agent", settings.upstream.agent, "Agent to announce to");
    parser.app()
        .add_option("--labels", settings.labels, "Labels, as key=value")
        ->delimiter(',')
        ->group("Upstream")
        ->envname("AZUREMOOR_LABELS");
    parser.addNumber("--slots", settings.upstream.slots, 1, 100'000, "Slots");
    parser.addNumber("--connections", settings.upstream.connections, 1, 100'000, "Connections");
    parser.addNumber("--cores", settings.upstream.cores, 0, 4096, "Cores");
    parser.addNumber("--memory-mb", settings.upstream.memoryMb, 0, 100'000'000, "Memory");
    parser.addNumber("--accelerators", settings.upstream.accelerators, 0, 1000, "Accelerators");
    parser.addNumber("--run-ms", settings.upstream.runMs, 0, 600'000, "Run time of tasks whose payload sets none");
    parser.demand([&settings] { return settings.role != "upstream" || !settings.upstream.name.empty(); },
                  "--name",
                  "is required with --role upstream");
}

void printListening(const azuremoor::socket_address &address)
{
    std::cerr << R"({"event":"started","http":")" << address.text() << "\"}" << std::endl;
}

int runLog(azuremoor::event_loop &loop, const azuremoor::socket_address &listen)
{
    azuremoor::log_standin standin(loop, listen);
    loop.onSignal(SIGTERM, [&loop] { loop.stop(); });
    printListening(standin.address());
    loop.run();
    return 0;
}

int runUpstream(azuremoor::event_loop &loop, const azuremoor::socket_address &listen, const standin_settings &settings)
{
    const azuremoor::system_time time;
    azuremoor::upstream_standin standin(loop, time, listen, settings.upstream);
    loop.onSignal(SIGTERM, [&loop, &standin] { standin.leave([&loop] { loop.stop(); }); });
    printListening(standin.address());
    loop.run();
    return 0;
}

}

int main(int argc, char **argv)
{
    standin_settings settings;
    azuremoor::settings_parser parser("azuremoor-standin",
                                      "Stands in for the platform's log or for an upstream, in tests and in the quick start");
    declare(parser, settings);
    if (const auto status = parser.parse(argc, argv)) {
        return *status;
    }
    for (const std::string &entry : settings.labels) {
        const std::size_t equals = entry.find('=');
        if (equals == std::string::npos) {
            std::cerr << "azuremoor-standin: --labels: " << entry << " is not of the form key=value" << std::endl;
            return azuremoor::WRONG_SETTINGS_STATUS;
        }
        settings.upstream.labels[entry.substr(0, equals)] = entry.substr(equals + 1);
    }
    std::signal(SIGPIPE, SIG_IGN);
    try {
        azuremoor::event_loop loop;
        const auto listen = azuremoor::socket_address::parse(settings.http).value();
        return settings.role == "log" ? runLog(loop, listen) : runUpstream(loop, listen, settings);
    } catch (const std::exception &error) {
        std::cerr << "azuremoor-standin: " << error.what() << std::endl;
        return 1;
    }
}
