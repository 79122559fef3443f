#include "base/submission_id.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>

#include <xxhash.h>

namespace azuremoor
{

namespace
{

constexpr std::size_t UUID_LENGTH = 36;
constexpr std::size_t UUID_VERSION_POSITION = 14;

bool isIdCharacter(char character)
{
    const bool letter = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
    const bool digit = character >= '0' && character <= '9';
    return letter || digit || character == '-' || character == '_' || character == '.';
}

bool isUuid(std::string_view id)
{
    if (id.size() != UUID_LENGTH) {
        return false;
    }
    for (std::size_t position = 0; position < id.size(); ++position) {
        const bool dashExpected = position == 8 || position == 13 || position == 18 || position == 23;
        const char character = id[position];
        const bool hexadecimal
            = (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f') || (character >= 'A' && character <= 'F');
        if (dashExpected ? character != '-' : !hexadecimal) {
            return false;
        }
    }
    return true;
}

}

bool isValidSubmissionId(std::string_view id)
{
    return !id.empty() && id.size() <= MAX_SUBMISSION_ID_BYTES && std::all_of(id.begin(), id.end(), isIdCharacter);
}

std::optional<unix_time> issueTime(std::string_view id)
{
    if (!isUuid(id) || id[UUID_VERSION_POSITION] != '7') {
        return std::nullopt;
    }
    // The first 48 bits of a UUID of version 7 hold the issue time in milliseconds since the Unix epoch.
    std::string digits(id.substr(0, 8));
    digits.append(id.substr(9, 4));
    std::int64_t value = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
    return fromUnixMilliseconds(value);
}

std::string makeSubmissionId(unix_time issued, std::mt19937_64 &random)
{
    const auto issuedMilliseconds = static_cast<std::uint64_t>(unixMilliseconds(issued));
    const std::uint64_t high = random();
    const std::uint64_t low = random();
    std::array<char, UUID_LENGTH + 1> text{};
    std::snprintf(text.data(),
                  text.size(),
                  "%08x-%04x-7%03x-%04x-%012llx",
                  static_cast<unsigned>((issuedMilliseconds >> 16) & 0xffffffffU),
                  static_cast<unsigned>(issuedMilliseconds & 0xffffU),
                  static_cast<unsigned>(high & 0xfffU),
                  static_cast<unsigned>(0x8000U | ((high >> 16) & 0x3fffU)),
                  static_cast<unsigned long long>(low & 0xffffffffffffULL));
    return std::string(text.data(), UUID_LENGTH);
}

std::uint32_t shardOf(std::string_view id)
{
    return static_cast<std::uint32_t>(stableHash(id) % SHARD_COUNT);
}

std::uint64_t stableHash(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

}
