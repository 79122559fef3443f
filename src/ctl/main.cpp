#include <csignal>
#include <iostream>

#include "ctl/check_command.h"
#include "ctl/configuration_commands.h"
#include "ctl/explain_command.h"
#include "ctl/fleet_commands.h"
#include "ctl/job_commands.h"
#include "ctl/load_command.h"
#include "settings/settings_parser.h"

namespace
{

using namespace azuremoor;

/// Most digits of a version; any number of so many digits fits into 64 bits.
constexpr std::size_t MAX_VERSION_DIGITS = 19;

/// Everything that the command line sets.
struct ctl_settings {
    std::vector<std::string> entries;
    std::string output = "text";
    std::string author = "operator";
    std::string argument;
    std::string file;
    /// Version that a checked file is compared with: a number, `current`, or empty for none.
    std::string against;
    std::vector<std::string> logs;
    bool noWait = false;
    std::int64_t version = -1;
    std::int64_t timeoutS = 30;
    std::int64_t rounds = 0;
    load_settings load;
};

std::optional<std::uint64_t> optionalVersion(const ctl_settings &settings)
{
    return settings.version < 0 ? std::nullopt : std::optional(static_cast<std::uint64_t>(settings.version));
}

/// Returns what is wrong with the text as a version to compare with; empty for none.
std::string checkVersion(const std::string &text)
{
    const bool isNumber = !text.empty() && text.size() <= MAX_VERSION_DIGITS && text.find_first_not_of("0123456789") == std::string::npos;
    return isNumber || text == "current" ? "" : "'" + text + "' is neither the number of a version nor current";
}

/// Declares the commands, each of which sets what is to be run.
class command_table
{
public:
    command_table(CLI::App &app, ctl_settings &settings)
        : m_app(app)
        , m_settings(settings)
    {
        app.require_subcommand(1);
        declareJobs();
        declareConfiguration();
        declareFleet();
        declareLoad();
    }

    /// Returns whether the selected command talks to the fleet.
    bool needsEntry() const
    {
        const bool isLocalCheck = m_app.got_subcommand("check") && m_settings.against.empty();
        return m_settings.logs.empty() && !isLocalCheck;
    }

    exit_status run(ctl_client &client) const
    {
        return m_selected(client);
    }

private:
    using action = std::function<exit_status(ctl_client &)>;

    CLI::App *declare(const std::string &name, const std::string &help, action run)
    {
        CLI::App *command = m_app.add_subcommand(name, help);
        command->callback([this, run] { m_selected = run; });
        return command;
    }

    bool json() const
    {
        return m_settings.output == "json";
    }

    job_commands jobs(ctl_client &client) const
    {
        return job_commands(client, json());
    }

    configuration_commands configuration(ctl_client &client) const
    {
        return configuration_commands(client, json(), m_settings.author);
    }

    fleet_commands fleet(ctl_client &client) const
    {
        return fleet_commands(client, json());
    }

    void declareJobs()
    {
        CLI::App *submit = declare("submit", "Submit a job and follow it until it ends", [this](ctl_client &client) {
            return jobs(client).submit(m_settings.file, !m_settings.noWait);
        });
        submit->add_option("-f,--file", m_settings.file, "File with the job, - for standard input")->required();
        submit->add_flag("--no-wait", m_settings.noWait, "Return once the job is accepted");
        declare("status", "Print how a job stands", [this](ctl_client &client) { return jobs(client).status(m_settings.argument); })
            ->add_option("job", m_settings.argument, "Identifier of the job")
            ->required();
        declare("cancel", "Cancel a job", [this](ctl_client &client) { return jobs(client).cancel(m_settings.argument); })
            ->add_option("job", m_settings.argument, "Identifier of the job")
            ->required();
        CLI::App *explain
            = declare("explain", "Print where the tasks of a job are, and why, or what its logs tell", [this](ctl_client &client) {
                  return m_settings.logs.empty() ? jobs(client).explain(m_settings.argument)
                                                 : explainFromLogs(m_settings.argument, m_settings.logs);
              });
        explain->add_option("job", m_settings.argument, "Identifier of the job")->required();
        explain->add_option("--logs", m_settings.logs, "Log files of the processes; without them, the entries are asked");
    }

    void declareConfiguration()
    {
        CLI::App *apply = declare("apply", "Check and publish a configuration", [this](ctl_client &client) {
            return configuration(client).apply(m_settings.file, optionalVersion(m_settings));
        });
        apply->add_option("-f,--file", m_settings.file, "File with the configuration, - for standard input")->required();
        apply->add_option("--base-version", m_settings.version, "Version that the change was made from; the one in force if not given");
        declare("diff",
                "Compare a configuration with the one in force",
                [this](ctl_client &client) { return configuration(client).diff(m_settings.file); })
            ->add_option("-f,--file", m_settings.file, "File with the configuration, - for standard input")
            ->required();
        declareCheck();
        declare("get", "Print a configuration", [this](ctl_client &client) {
            return configuration(client).get(optionalVersion(m_settings));
        })->add_option("--version-number", m_settings.version, "Version to print; the one in force if not given");
        declare("history", "Print the versions that are kept", [this](ctl_client &client) { return configuration(client).history(); });
        declare("rollback",
                "Publish an earlier version again, as a new change",
                [this](ctl_client &client) { return configuration(client).rollback(static_cast<std::uint64_t>(m_settings.version)); })
            ->add_option("version", m_settings.version, "Version to publish again")
            ->required()
            ->check(CLI::NonNegativeNumber);
        CLI::App *wait = declare("wait", "Wait until every member has applied a version", [this](ctl_client &client) {
            return configuration(client).wait(static_cast<std::uint64_t>(m_settings.version), seconds(m_settings.timeoutS));
        });
        wait->add_option("version", m_settings.version, "Version to wait for")->required()->check(CLI::NonNegativeNumber);
        wait->add_option("--timeout-s", m_settings.timeoutS, "Longest wait")->check(CLI::Range(0, 3600))->capture_default_str();
    }

    void declareCheck()
    {
        CLI::App *check = declare("check", "Check a configuration without publishing it", [this](ctl_client &client) {
            return check_command(client, json()).run(m_settings.file, m_settings.against);
        });
        check->add_option("file", m_settings.file, "File with the configuration, - for standard input")->required();
        check
            ->add_option(
                "--against", m_settings.against, "Version to compare with, current for the one in force; nothing is fetched without it")
            ->check(CLI::Validator(checkVersion, "VERSION"));
        check->footer(
            "Exit status: 0 no findings, 1 warnings only, 2 errors in the file or the arguments, 3 or 5 the version could not be fetched");
    }

    void declareFleet()
    {
        declare("state", "Print the state of a process", [this](ctl_client &client) {
            return fleet(client).state(m_settings.argument);
        })->add_option("address", m_settings.argument, "http:// address of the process; all entries if not given");
        declare("members", "Print the members of the fleet", [this](ctl_client &client) { return fleet(client).members(); });
        declare("watch",
                "Print a line for each entry, again and again",
                [this](ctl_client &client) { return fleet(client).watch(m_settings.rounds); })
            ->add_option("--rounds", m_settings.rounds, "Rounds to print; 0 for no end")
            ->check(CLI::NonNegativeNumber);
        declare("forget",
                "Publish that a process is gone for good",
                [this](ctl_client &client) { return fleet(client).forget(m_settings.argument); })
            ->add_option("name", m_settings.argument, "Name of the process")
            ->required();
    }

    void declareLoad()
    {
        CLI::App *load = declare("load", "Submit many jobs to upstream stand-ins and check every answer", [this](ctl_client &client) {
            return load_command(client, m_settings.load, json()).run();
        });
        load_settings &settings = m_settings.load;
        load->add_option("--jobs", settings.jobs, "Jobs to submit")->check(CLI::Range(1, 10'000'000))->capture_default_str();
        load->add_option("--tasks", settings.tasks, "Tasks in each job")->check(CLI::Range(1, 440))->capture_default_str();
        load->add_option("--parallel", settings.parallel, "Jobs under way at the same time")
            ->check(CLI::Range(1, 100'000))
            ->capture_default_str();
        load->add_option("--shortest-ms", settings.shortestMs, "Shortest run time")->check(CLI::Range(0, 600'000))->capture_default_str();
        load->add_option("--longest-ms", settings.longestMs, "Longest run time")->check(CLI::Range(0, 600'000))->capture_default_str();
        load->add_option("--deadline-s", settings.deadlineS, "Deadline of each job, from its submission")
            ->check(CLI::Range(1, 300))
            ->capture_default_str();
        load->add_option("--seed", settings.seed, "Seed of the run times")->capture_default_str();
        load->add_option("--resubmissions", settings.resubmissions, "Times that each job is submitted again")
            ->check(CLI::Range(0, 1000))
            ->capture_default_str();
        load->add_option("--selectors", settings.selectors, "Selectors, taken in turn");
        load->add_option("--team", settings.team, "Team of the jobs")->capture_default_str();
    }

    CLI::App &m_app;
    ctl_settings &m_settings;
    action m_selected;
};

std::vector<http_url> parseEntries(const std::vector<std::string> &texts)
{
    std::vector<http_url> entries;
    for (const std::string &text : texts) {
        const auto url = http_url::parse(text);
        if (url) {
            entries.push_back(*url);
        }
    }
    return entries;
}

}

int main(int argc, char **argv)
{
    ctl_settings settings;
    settings_parser parser("azuremoorctl", "Submits jobs, publishes configuration and shows what the fleet does");
    parser.beginGroup("Connection");
    parser.addUrls("--entry", settings.entries, "Addresses of entries, separated by commas");
    parser.addChoice("--output", settings.output, {"text", "json"}, "Form of what is printed");
    parser.addText("--author", settings.author, "Name under which changes are published");
    const command_table commands(parser.app(), settings);
    if (const auto status = parser.parse(argc, argv)) {
        return *status;
    }
    std::signal(SIGPIPE, SIG_IGN);
    ctl_client client(parseEntries(settings.entries));
    if (client.entries().empty() && commands.needsEntry()) {
        std::cerr << "azuremoorctl: --entry: no entry is given; use --entry or AZUREMOOR_ENTRY" << std::endl;
        return static_cast<int>(exit_status::usage);
    }
    return static_cast<int>(commands.run(client));
}
