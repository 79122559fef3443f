#include "telemetry/line_writer.h"

#include <algorithm>

#include <poll.h>
#include <unistd.h>

namespace azuremoor
{

namespace
{

constexpr std::size_t MAX_BUFFERED_BYTES = 16 * 1024;

/// What a pipe takes without blocking once it is writable.
constexpr std::size_t MAX_WRITE_BYTES = 4096;

}

line_writer::line_writer(int descriptor)
    : m_descriptor(descriptor)
{
}

line_writer::~line_writer()
{
    flush();
}

bool line_writer::add(std::string_view line)
{
    if (m_buffer.size() + line.size() > MAX_BUFFERED_BYTES) {
        flush();
    }
    // A line that is longer than the buffer is taken if nothing else waits.
    if (!m_buffer.empty() && m_buffer.size() + line.size() > MAX_BUFFERED_BYTES) {
        return false;
    }
    m_buffer.append(line);
    return true;
}

void line_writer::flush()
{
    std::size_t written = 0;
    while (written < m_buffer.size() && canWrite()) {
        const std::size_t length = std::min(m_buffer.size() - written, MAX_WRITE_BYTES);
        const ssize_t count = ::write(m_descriptor, m_buffer.data() + written, length);
        if (count <= 0) {
            break;
        }
        written += static_cast<std::size_t>(count);
    }
    m_buffer.erase(0, written);
}

bool line_writer::canWrite() const
{
    pollfd waiting{m_descriptor, POLLOUT, 0};
    return poll(&waiting, 1, 0) == 1 && (waiting.revents & POLLOUT) != 0;
}

}
