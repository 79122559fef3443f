#include <doctest/doctest.h>

#include <atomic>
#include <mutex>

#include "seed_range.h"
#include "testing/fake_fleet.h"

using namespace azuremoor;
using namespace azuremoor::testing;

namespace
{

/// A random run in which operators publish configuration changes concurrently while faults occur.
class operator_race
{
public:
    explicit operator_race(std::uint64_t seed)
        : m_random(seed)
        , m_fleet(settingsFor(seed))
    {
    }

    /// Executes the run and returns the violations.
    std::vector<std::string> run()
    {
        if (!m_fleet.runUntilReady(seconds(10))) {
            return {"the fleet did not become ready"};
        }
        m_fleet.log().retention = seconds(8);
        for (int round = 0; round < 400; ++round) {
            m_fleet.run(milliseconds(50));
            performRandomAction();
            checkVersions();
        }
        m_fleet.log().down = false;
        for (const std::string &entry : m_fleet.entryNames()) {
            m_fleet.mendLog(entry);
            m_fleet.resume(entry);
            m_fleet.start(entry);
        }
        m_fleet.run(seconds(8));
        checkVersionsEqual();
        publishFinalChange();
        checkEffects();
        return m_violations;
    }

private:
    static fake_fleet_settings settingsFor(std::uint64_t seed)
    {
        fake_fleet_settings settings;
        settings.agents = 5;
        settings.seed = seed;
        settings.snapshotInterval = seconds(2);
        return settings;
    }

    void performRandomAction()
    {
        const std::string entry = "entry-" + std::to_string(randomBetween(1, 3));
        switch (randomBetween(0, 24)) {
        case 0:
        case 1:
        case 2:
        case 3:
            publish(entry);
            break;
        case 4:
            m_fleet.log().loseAcknowledgements += 2;
            break;
        case 5:
            m_fleet.log().down = !m_fleet.log().down;
            break;
        case 6:
            m_fleet.kill(entry);
            break;
        case 7:
            m_fleet.start(entry);
            break;
        case 8:
            m_fleet.pause(entry);
            break;
        case 9:
            m_fleet.resume(entry);
            break;
        case 10:
            m_fleet.cutLog(entry);
            break;
        case 11:
            m_fleet.mendLog(entry);
            break;
        default:
            break;
        }
    }

    void publish(const std::string &entry)
    {
        if (!m_fleet.isUp(entry)) {
            return;
        }
        entry_node &node = m_fleet.entry(entry);
        const std::uint64_t base = node.stream().state().configurationVersion();
        const std::string document = R"({"teams": {"team-)" + std::to_string(m_published) + R"(": {}}})";
        ++m_published;
        m_records.push_back(node.publishConfiguration(base, entry, document));
    }

    void checkVersions()
    {
        for (const std::string &name : m_fleet.entryNames()) {
            if (m_fleet.isUp(name)) {
                checkVersion(name, m_fleet.entry(name).stream().state(), m_fleet.entry(name).settings().self.incarnation);
            }
        }
        for (const std::string &name : m_fleet.agentNames()) {
            checkVersion(name, m_fleet.agent(name).stream().state(), m_fleet.agent(name).settings().self.incarnation);
        }
    }

    void checkVersion(const std::string &name, const fleet_state &state, std::uint64_t incarnation)
    {
        std::uint64_t &highest = m_highest[{name, incarnation}];
        if (state.configurationVersion() < highest) {
            m_violations.push_back(name + " reverted to version " + std::to_string(state.configurationVersion()));
        }
        highest = state.configurationVersion();
    }

    void checkVersionsEqual()
    {
        const fleet_state &first = m_fleet.entry("entry-1").stream().state();
        for (const std::string &name : m_fleet.entryNames()) {
            if (m_fleet.entry(name).stream().state().configurationVersion() != first.configurationVersion()) {
                m_violations.push_back(name + " ends at a different version");
            }
        }
        for (const std::string &name : m_fleet.agentNames()) {
            if (m_fleet.agent(name).stream().state().configurationVersion() != first.configurationVersion()) {
                m_violations.push_back(name + " ends at a different version");
            }
        }
        if (m_published > 0 && first.configurationVersion() == 0 && m_fleet.log().appends == 0) {
            m_violations.push_back("nothing was published");
        }
    }

    void publishFinalChange()
    {
        publish("entry-2");
        const std::string last = m_records.back();
        m_fleet.run(seconds(2));
        const std::uint64_t version = m_fleet.entry("entry-2").stream().state().offsetOf(last);
        if (version == 0 || m_fleet.entry("entry-2").stream().state().configurationVersion() != version) {
            m_violations.push_back("the last change is not in force after 2 s");
        }
        for (const std::string &name : m_fleet.agentNames()) {
            if (m_fleet.agent(name).stream().state().configurationVersion() != version) {
                m_violations.push_back("the last change is not in force at " + name + " after 2 s");
            }
        }
    }

    /// Checks that all entries agree on which changes took effect.
    void checkEffects()
    {
        for (const std::string &record : m_records) {
            const auto expected = m_fleet.entry("entry-1").stream().state().effectOf(record);
            for (const std::string &name : m_fleet.entryNames()) {
                if (m_fleet.entry(name).stream().state().effectOf(record) != expected) {
                    m_violations.push_back(name + " disagrees on the effect of a change");
                }
            }
        }
    }

    std::int64_t randomBetween(std::int64_t lowest, std::int64_t highest)
    {
        return std::uniform_int_distribution<std::int64_t>(lowest, highest)(m_random);
    }

    std::mt19937_64 m_random;
    fake_fleet m_fleet;
    std::uint64_t m_published = 0;
    std::vector<std::string> m_records;
    std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> m_highest;
    std::vector<std::string> m_violations;
};

}

TEST_CASE("concurrent configuration changes under faults converge on one version, and no process reverts to an older one")
{
    std::mutex lock;
    std::vector<std::string> violations;
    std::atomic<int> races = 0;
    seed_range{1, 1000}.forEach([&](std::uint64_t seed) {
        const std::vector<std::string> found = operator_race(seed).run();
        ++races;
        const std::lock_guard<std::mutex> guard(lock);
        for (const std::string &violation : found) {
            violations.push_back("seed " + std::to_string(seed) + ": " + violation);
        }
    });
    for (std::size_t index = 0; index < violations.size() && index < 20; ++index) {
        FAIL_CHECK(violations[index]);
    }
    CHECK(races == 1000);
}

TEST_CASE("no configuration is lost while log records are trimmed for a week")
{
    fake_fleet_settings settings;
    settings.agents = 1;
    settings.tickInterval = seconds(5);
    settings.heartbeat = {seconds(60), seconds(60), seconds(300)};
    settings.isolationBound = seconds(300);
    settings.snapshotInterval = std::chrono::minutes(30);
    fake_fleet fleet(settings);
    fleet.log().retention = std::chrono::hours(2);
    fleet.run(std::chrono::minutes(10));
    fleet.entry("entry-1").publishConfiguration(0, "ana", R"({"teams": {"kept": {}}})");
    fleet.run(std::chrono::hours(24 * 7));
    fleet.kill("entry-2");
    fleet.start("entry-2");
    fleet.run(std::chrono::minutes(10));
    CHECK(fleet.entry("entry-2").stream().state().currentConfiguration().team("kept") != nullptr);
    CHECK(fleet.entry("entry-2").log().snapshotsUsed() == 1);
}

TEST_CASE("the configuration survives when all entries are replaced one by one while the log is down")
{
    fake_fleet fleet({});
    REQUIRE(fleet.runUntilReady(seconds(10)));
    fleet.entry("entry-1").publishConfiguration(0, "ana", R"({"teams": {"kept": {}}})");
    fleet.run(seconds(2));
    fleet.log().down = true;
    fleet.run(seconds(2));
    for (const std::string &name : fleet.entryNames()) {
        fleet.kill(name);
        fleet.start(name);
        fleet.run(seconds(3));
    }
    for (const std::string &name : fleet.entryNames()) {
        CHECK(fleet.entry(name).stream().state().currentConfiguration().team("kept") != nullptr);
    }
}
