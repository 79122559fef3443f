#include "daemon/incarnation.h"

#include <random>

namespace azuremoor
{

std::uint64_t newIncarnation()
{
    std::random_device device;
    const std::uint64_t bits = (std::uint64_t(device()) << 32) | device();
    return (bits >> 12) | 1;
}

}
