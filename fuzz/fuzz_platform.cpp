// Feeds each decoder of the platform's bodies. The first byte chooses the decoder.

#include "job_codec.h"
#include "routing_codec.h"
#include "store_client.h"
#include "worker_codec.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace azuremoor::platform;
    if (size == 0) {
        return 0;
    }
    const std::string_view body(reinterpret_cast<const char *>(data) + 1, size - 1);
    constexpr int DECODERS = 6;
    switch (data[0] % DECODERS) {
    case 0:
        static_cast<void>(decodeJob("5c0e7a21d94b36f8", body));
        break;
    case 1:
        static_cast<void>(routing_codec().read(body));
        break;
    case 2:
        static_cast<void>(decodeReport("i-1", body));
        break;
    case 3:
        static_cast<void>(decodeRenewal(200, body));
        break;
    case 4:
        static_cast<void>(decodeRecords(0, body));
        break;
    default:
        static_cast<void>(decodeNewest(body));
        break;
    }
    return 0;
}
