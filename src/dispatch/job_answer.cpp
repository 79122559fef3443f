#include "dispatch/job_answer.h"

#include <array>

namespace azuremoor
{

std::string_view answerKindName(answer_kind kind)
{
    constexpr std::array<std::string_view, ANSWER_KIND_COUNT> NAMES
        = {"completed", "failed", "refused_full", "refused_unavailable", "expired", "cancelled"};
    return NAMES[static_cast<std::size_t>(kind)];
}

std::string_view resourceShortageName(resource_shortage shortage)
{
    constexpr std::array<std::string_view, RESOURCE_SHORTAGE_COUNT> NAMES = {"none", "processor", "link", "share", "stopping"};
    return NAMES[static_cast<std::size_t>(shortage)];
}

}
