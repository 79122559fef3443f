#ifndef AZUREMOOR_DISPATCH_ROUTE_TABLE_H
#define AZUREMOOR_DISPATCH_ROUTE_TABLE_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/time_source.h"

namespace azuremoor
{

/// A queue of jobs: which requests belong to it, who runs them, and how soon callers want them answered.
struct route {
    std::string name;
    std::string host;
    std::string pathPrefix;
    /// Name of the upstream service that runs the tasks.
    std::string service;
    /// 0 goes first.
    std::uint32_t priority = 0;
    /// Failed runs of one task after which its job fails.
    std::uint32_t maxAttempts = 1;
    /// The latency objective is this factor times the longest chain of work, plus the target latency.
    double slackFactor = 1;
    microseconds targetLatency{0};
    /// What the queue asks for that is not offered; empty when everything is.
    std::string unsupported;
};

/// A version of the routing configuration.
struct routing {
    std::uint64_t version = 0;
    std::vector<route> routes;
};

/// The routing configuration in force. It only moves to higher versions.
class route_table
{
public:
    /// Puts the configuration in force if its version is higher than the present one. Returns whether it did.
    bool replace(routing next);

    /// Returns the route with the longest path prefix for the host, or null. Valid until the next replacement.
    const route *find(std::string_view host, std::string_view path) const;

    /// Returns the version in force, or 0 when there is none yet.
    std::uint64_t version() const;

    /// Returns the number of routes in force.
    std::size_t size() const;

private:
    routing m_routing;
};

}

#endif
