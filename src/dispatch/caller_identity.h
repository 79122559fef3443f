#ifndef AZUREMOOR_DISPATCH_CALLER_IDENTITY_H
#define AZUREMOOR_DISPATCH_CALLER_IDENTITY_H

#include <string>

namespace azuremoor
{

/// Who submitted a job. Capacity is shared fairly between accounts and between data centres.
struct caller_identity {
    /// IP address of the caller's connection; empty if it is not known.
    std::string account;
    /// Data centre that the caller belongs to; empty if it is not known.
    std::string dataCentre;
};

}

#endif
