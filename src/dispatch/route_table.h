#ifndef AZUREMOOR_DISPATCH_ROUTE_TABLE_H
#define AZUREMOOR_DISPATCH_ROUTE_TABLE_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/time_source.h"

namespace azuremoor
{

/// A route, which defines a queue of jobs: the requests that belong to it, the upstream service that runs them and their latency objective.
struct route {
    std::string name;
    std::string host;
    std::string pathPrefix;
    /// Name of the upstream service that runs the tasks.
    std::string service;
    /// Priority of the queue; 0 is the highest.
    std::uint32_t priority = 0;
    /// Number of failed runs of one task at which its job fails.
    std::uint32_t maxAttempts = 1;
    /// The latency objective is this factor times the duration of the critical path, plus `targetLatency`.
    double slackFactor = 1;
    /// Constant part of the latency objective.
    microseconds targetLatency{0};
    /// Version of the configuration that the route comes from.
    std::uint64_t version = 0;
    /// Description of a configured feature that is not supported; empty when there is none.
    std::string unsupported;
};

/// A version of the routing configuration.
struct routing {
    std::uint64_t version = 0;
    std::vector<route> routes;
};

/// The routing configuration in force. It is only replaced by a higher version.
class route_table
{
public:
    /// Replaces the configuration if the version of the new one is higher. Returns whether it did.
    bool replace(routing next);

    /// Returns the host's route with the longest matching path prefix, or null. The pointer is valid until the next replacement.
    const route *find(std::string_view host, std::string_view path) const;

    /// Returns the version in force, or 0 before the first configuration.
    std::uint64_t version() const;

    std::size_t size() const;

    /// Returns whether the routes in force have at least two different priorities.
    bool hasSeveralPriorities() const;

    /// Returns the lowest priority, which is the highest number, of the routes in force; 0 when there are none.
    std::uint32_t lowestPriority() const;

private:
    routing m_routing;
    bool m_hasSeveralPriorities = false;
    std::uint32_t m_lowestPriority = 0;
};

}

#endif
