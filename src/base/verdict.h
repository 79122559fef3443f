#ifndef AZUREMOOR_BASE_VERDICT_H
#define AZUREMOOR_BASE_VERDICT_H

#include <cstdint>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace azuremoor
{

/// What is known of a request. Nothing else may be inferred from a timeout or a lost connection.
enum class verdict : std::uint8_t {
    /// Proved never to have started, and fenced so that no copy still under way can start it later.
    not_run = 0,
    /// Known to have run; its answer is at hand.
    ran = 1,
    /// Started, or possibly started, with no answer known.
    may_have_run = 2,
};

/// Returns the name of the verdict as it appears in the interfaces.
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

/// An error that says whether the request it concerns may have run, with a reason that a person can act on.
struct failure {
    verdict outcome = verdict::may_have_run;
    std::string reason;
};

/// A value, or a failure that carries a verdict.
template<typename Value>
using result_or_failure = tl::expected<Value, failure>;

}

#endif
