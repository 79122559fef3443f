#include "messages/codec.h"

#include <array>
#include <istream>
#include <ostream>
#include <streambuf>

#include <cereal/archives/portable_binary.hpp>

namespace azuremoor
{

namespace
{

/// Read-only stream buffer over a byte range that it does not own. The range must outlive the buffer.
class span_buffer : public std::streambuf
{
public:
    explicit span_buffer(std::span<const char> bytes)
    {
        // setg() takes non-const pointers, but an input stream does not write to the buffer.
        char *begin = const_cast<char *>(bytes.data());
        setg(begin, begin, begin + bytes.size());
    }
};

/// Write-only stream buffer that appends to a string.
class string_buffer : public std::streambuf
{
public:
    std::string bytes;

protected:
    int_type overflow(int_type character) override
    {
        if (!traits_type::eq_int_type(character, traits_type::eof())) {
            bytes.push_back(traits_type::to_char_type(character));
        }
        return traits_type::not_eof(character);
    }

    std::streamsize xsputn(const char *text, std::streamsize length) override
    {
        bytes.append(text, static_cast<std::size_t>(length));
        return length;
    }
};

/// Deserializes the alternative of `message` at the position `type`. Throws cereal::Exception if there is no such position.
template<std::size_t Index = 0>
message readAlternative(std::size_t type, cereal::PortableBinaryInputArchive &archive)
{
    if constexpr (Index < std::variant_size_v<message>) {
        if (type == Index) {
            std::variant_alternative_t<Index, message> value;
            archive(value);
            return value;
        }
        return readAlternative<Index + 1>(type, archive);
    } else {
        throw cereal::Exception("unknown message type");
    }
}

/// Names of the message types in logs and metrics, in the order of the alternatives of `message`.
constexpr std::array MESSAGE_NAMES = {
    "hello",
    "ping",
    "pong",
    "control_fetch",
    "control_records",
    "control_state",
    "upstream_status",
    "demand",
    "grant",
    "credit_return",
    "start_tasks",
    "task_results",
    "results_delivered",
    "revoke_tasks",
    "revoke_results",
    "close_submission",
    "submission_closed",
    "recovery_query",
    "ledger_chunk",
    "ledger_handover",
    "ledger_received",
    "forwarded_submission",
    "forwarded_query",
    "job_reply",
    "table_handover",
    "handover_received",
    "start_runs",
    "stop_runs",
    "run_results",
    "run_results_received",
    "worker_status",
    "room_update",
    "room_wish",
    "known_entries",
    "routing_request",
    "routing_piece",
    "entry_heartbeat",
    "evacuation_state",
    "evacuation_request",
    "reserve_room",
    "job_handover",
    "handover_answer",
    "handover_cancel",
    "handover_lease",
    "handover_released",
    "crash_report",
};
static_assert(MESSAGE_NAMES.size() == std::variant_size_v<message>);

}

std::string_view messageName(const message &value)
{
    return messageName(value.index());
}

std::string_view messageName(std::size_t type)
{
    return MESSAGE_NAMES[type];
}

std::string encodeMessage(const message &value)
{
    string_buffer buffer;
    // The construction of a stream took more instructions than the encoding of a small message.
    thread_local std::ostream stream(nullptr);
    stream.rdbuf(&buffer);
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(PROTOCOL_VERSION, static_cast<std::uint8_t>(value.index()));
    std::visit([&archive](const auto &alternative) { archive(alternative); }, value);
    stream.rdbuf(nullptr);
    return std::move(buffer.bytes);
}

tl::expected<message, decode_error> decodeMessage(std::span<const char> bytes)
{
    if (bytes.size() > MAX_MESSAGE_BYTES) {
        return tl::unexpected(decode_error::too_long);
    }
    span_buffer buffer(bytes);
    thread_local std::istream stream(nullptr);
    // Sets the state to good as well, whatever the previous message left.
    stream.rdbuf(&buffer);
    try {
        cereal::PortableBinaryInputArchive archive(stream);
        std::uint16_t version = 0;
        std::uint8_t type = 0;
        archive(version);
        if (version != PROTOCOL_VERSION) {
            return tl::unexpected(decode_error::wrong_version);
        }
        archive(type);
        if (type >= std::variant_size_v<message>) {
            return tl::unexpected(decode_error::unknown_type);
        }
        message value = readAlternative(type, archive);
        if (buffer.in_avail() > 0) {
            return tl::unexpected(decode_error::trailing_bytes);
        }
        return value;
    } catch (const cereal::Exception &) {
        return tl::unexpected(decode_error::malformed);
    }
}

}
