#ifndef AZUREMOOR_MESSAGES_CODEC_H
#define AZUREMOOR_MESSAGES_CODEC_H

#include <span>
#include <string>

#include <tl/expected.hpp>

#include "messages/messages.h"

namespace azuremoor
{

/// Version of the protocol between entries and agents. A message with a different version is not decoded.
constexpr std::uint16_t PROTOCOL_VERSION = 5;

/// Maximum size of a message that decodeMessage() accepts, in bytes. encodeMessage() does not check it.
constexpr std::size_t MAX_MESSAGE_BYTES = 16 * 1024 * 1024;

/// Reason why received bytes were not decoded as a message.
enum class decode_error : std::uint8_t {
    wrong_version,
    unknown_type,
    malformed,
    trailing_bytes,
    too_long,
};

/// Serializes the message into the portable binary format: protocol version, message type, fields. There is no length prefix.
/// Throws cereal::Exception if a field exceeds its maximum length.
std::string encodeMessage(const message &value);

/// Deserializes exactly one message that was encoded with encodeMessage(). Malformed input is reported as a decode_error; no exception
/// is thrown for it.
tl::expected<message, decode_error> decodeMessage(std::span<const char> bytes);

}

#endif
