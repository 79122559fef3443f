#ifndef AZUREMOOR_DAEMON_INCARNATION_H
#define AZUREMOOR_DAEMON_INCARNATION_H

#include <cstdint>

namespace azuremoor
{

/// Returns a number that tells this start of a process from every other one. It has 52 bits, which every JSON reader keeps exactly.
std::uint64_t newIncarnation();

}

#endif
