// Feeds the reader of jobs.

#include "entry/job_json.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    azuremoor::parseJob(std::string_view(reinterpret_cast<const char *>(data), size));
    return 0;
}
