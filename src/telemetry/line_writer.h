#ifndef AZUREMOOR_TELEMETRY_LINE_WRITER_H
#define AZUREMOOR_TELEMETRY_LINE_WRITER_H

#include <string>
#include <string_view>

namespace azuremoor
{

/**
 * Collects lines and writes them to a descriptor without blocking.
 *
 * Writing many lines at once saves system calls. Lines wait in a bounded buffer until `flush()`, or until the buffer is full.
 */
class line_writer
{
public:
    /// Takes the descriptor, which is not closed.
    explicit line_writer(int descriptor);
    ~line_writer();
    line_writer(const line_writer &) = delete;
    line_writer &operator=(const line_writer &) = delete;

    /// Adds the line, which ends with a line break. Returns false if the reader has stalled and the buffer has no space: the line is
    /// dropped.
    bool add(std::string_view line);

    /// Writes what the descriptor takes now.
    void flush();

private:
    bool canWrite() const;

    int m_descriptor;
    std::string m_buffer;
};

}

#endif
