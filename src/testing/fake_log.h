#ifndef AZUREMOOR_TESTING_FAKE_LOG_H
#define AZUREMOOR_TESTING_FAKE_LOG_H

#include <deque>
#include <functional>
#include <string>

#include "nodes/log_follower.h"
#include "testing/virtual_time.h"

namespace azuremoor::testing
{

/// The platform's log in virtual time: down, slow, trimmed, or losing acknowledgements, as a test asks.
class fake_log
{
public:
    explicit fake_log(virtual_time &time)
        : m_time(time)
    {
    }

    /// Appends a record and reports whether it was acknowledged. A lost acknowledgement is reported as a failure.
    void append(const std::string &body, std::function<void(bool acknowledged)> done)
    {
        m_time.after(latency, [this, body, done = std::move(done)] {
            if (down) {
                m_time.after(latency, [done] { done(false); });
                return;
            }
            ++appends;
            m_records.push_back({body, m_time.steadyNow() + retention});
            trim();
            const bool lost = loseAcknowledgements > 0;
            loseAcknowledgements -= lost ? 1 : 0;
            m_time.after(latency, [done, lost] { done(!lost); });
        });
    }

    /// Reads a page. Does not call back while the log is down.
    void read(std::uint64_t from, std::function<void(const log_page &)> done)
    {
        const steady_time began = m_time.steadyNow();
        m_time.after(latency, [this, from, began, done = std::move(done)] {
            if (down) {
                return;
            }
            trim();
            log_page page{began, m_first, m_first + m_records.size(), {}};
            for (std::uint64_t offset = std::max(from, m_first); offset < page.nextOffset; ++offset) {
                page.records.push_back({offset, m_records[offset - m_first].body});
            }
            m_time.after(latency, [page, done] { done(page); });
        });
    }

    bool down = false;
    microseconds latency = milliseconds(2);
    std::uint64_t loseAcknowledgements = 0;
    /// Time for which a record is kept.
    microseconds retention = std::chrono::hours(24);
    std::uint64_t appends = 0;

private:
    struct kept_record {
        std::string body;
        steady_time expiry;
    };

    void trim()
    {
        while (!m_records.empty() && m_records.front().expiry <= m_time.steadyNow()) {
            m_records.pop_front();
            ++m_first;
        }
    }

    virtual_time &m_time;
    std::uint64_t m_first = 1;
    std::deque<kept_record> m_records;
};

}

#endif
