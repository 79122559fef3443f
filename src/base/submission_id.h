#ifndef AZUREMOOR_BASE_SUBMISSION_ID_H
#define AZUREMOOR_BASE_SUBMISSION_ID_H

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>

#include "base/time_source.h"

namespace azuremoor
{

/// Number of shards over which the submissions of a region are distributed. It is part of the protocol: all processes must use the same
/// number.
constexpr std::uint32_t SHARD_COUNT = 64;

/// Maximum length of a submission identifier in bytes.
constexpr std::size_t MAX_SUBMISSION_ID_BYTES = 64;

/// Returns whether the text is a valid submission identifier: 1 to 64 ASCII letters, digits, dots, dashes or underscores.
bool isValidSubmissionId(std::string_view id);

/// Returns the time at which a UUID of version 7 was issued. Any other identifier is opaque and has no issue time.
std::optional<unix_time> issueTime(std::string_view id);

/// Generates a UUID of version 7 with the given issue time and random bits from the generator. Identifiers of log records are
/// generated with it too.
std::string makeSubmissionId(unix_time issued, std::mt19937_64 &random);

/// Returns the shard of the identifier, from 0 to SHARD_COUNT - 1. The result is the same in every process.
std::uint32_t shardOf(std::string_view id);

/// Returns the 64-bit XXH3 hash of the text. The result is the same in every process.
std::uint64_t stableHash(std::string_view text);

}

#endif
