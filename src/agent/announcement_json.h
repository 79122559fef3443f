#ifndef AZUREMOOR_AGENT_ANNOUNCEMENT_JSON_H
#define AZUREMOOR_AGENT_ANNOUNCEMENT_JSON_H

#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "workers/worker_agent.h"

namespace azuremoor
{

/// Returns the announcement that the JSON text holds, or the reason why it holds none.
tl::expected<upstream_announcement, std::string> parseAnnouncement(std::string_view text);

}

#endif
