#ifndef AZUREMOOR_BASE_VERDICT_H
#define AZUREMOOR_BASE_VERDICT_H

#include <cstdint>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace azuremoor
{

/// Whether a task or request ran, as far as is known. A timeout or a lost connection alone never proves more than `may_have_run`.
enum class verdict : std::uint8_t {
    /// Proven not to have started. Fencing ensures that a message still in transit cannot start it later.
    not_run = 0,
    /// Known to have run. The answer may still be missing, for example because the upstream returned an error.
    ran = 1,
    /// Started or possibly started, without a known answer.
    may_have_run = 2,
};

/// Returns the name of the verdict as it appears in interfaces.
constexpr std::string_view verdictName(verdict value)
{
    switch (value) {
    case verdict::not_run:
        return "not_run";
    case verdict::ran:
        return "ran";
    case verdict::may_have_run:
        break;
    }
    return "may_have_run";
}

/// What went wrong with a request, as far as the transport has seen it. None of them shows that the server has ended.
enum class failure_kind : std::uint8_t {
    other,
    /// The connection was refused: nothing listens at the address, or the path to it refuses connections.
    refused,
    /// The time for the request, or for opening a connection, has run out.
    timed_out,
    /// The connection was closed or reset, or could not be opened for a reason other than a refusal.
    connection_lost,
};

/// An error of a request: whether the request may have run, a reason that an operator or a caller can act on, and what went wrong.
struct failure {
    verdict outcome = verdict::may_have_run;
    std::string reason{};
    failure_kind kind = failure_kind::other;
};

/// A value on success, or a failure.
template<typename Value>
using result_or_failure = tl::expected<Value, failure>;

}

#endif
