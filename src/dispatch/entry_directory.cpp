#include "dispatch/entry_directory.h"

namespace azuremoor
{

namespace
{

/// Time without a connection after which an address is removed.
constexpr microseconds ADDRESS_RETENTION = seconds(10);

}

entry_directory::entry_directory(const time_source &time, std::string self, std::span<const std::string> seeds)
    : m_time(time)
    , m_self(std::move(self))
{
    for (const std::string &seed : seeds) {
        if (seed != m_self) {
            m_entries[seed] = {true, false, m_time.steadyNow()};
        }
    }
}

bool entry_directory::addAddresses(std::span<const std::string> addresses)
{
    bool isNew = false;
    for (const std::string &address : addresses) {
        if (address != m_self && !m_entries.contains(address)) {
            m_entries[address] = {false, false, m_time.steadyNow()};
            isNew = true;
        }
    }
    return isNew;
}

void entry_directory::setConnected(const std::string &address, bool isConnected)
{
    known_entry &entry = m_entries[address];
    entry.isConnected = isConnected;
    entry.lastChangeAt = m_time.steadyNow();
}

bool entry_directory::removeExpired()
{
    const steady_time now = m_time.steadyNow();
    const std::size_t removed = std::erase_if(m_entries, [now](const auto &each) {
        return !each.second.isSeed && !each.second.isConnected && now >= each.second.lastChangeAt + ADDRESS_RETENTION;
    });
    return removed > 0;
}

std::vector<entry_contact> entry_directory::contacts() const
{
    std::vector<entry_contact> result;
    for (const auto &[address, entry] : m_entries) {
        result.push_back({address, entry.isConnected, entry.lastChangeAt});
    }
    return result;
}

std::vector<std::string> entry_directory::reachableAddresses() const
{
    std::vector<std::string> result;
    if (!m_self.empty()) {
        result.push_back(m_self);
    }
    for (const auto &[address, entry] : m_entries) {
        if (entry.isConnected) {
            result.push_back(address);
        }
    }
    return result;
}

}
