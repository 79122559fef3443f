#ifndef AZUREMOOR_CHECKS_ROUTE_CHECK_H
#define AZUREMOOR_CHECKS_ROUTE_CHECK_H

#include <set>
#include <span>
#include <string>
#include <vector>

#include "dispatch/route_table.h"

namespace azuremoor
{

/// The part of a route that a finding is about. Each platform's format has its own names for them.
enum class route_field {
    whole,
    name,
    path_prefix,
    service,
    slack_factor,
};

/// A route that has no effect or that its own settings rule out.
struct route_finding {
    /// Index of the route in the document.
    std::size_t route = 0;
    route_field field = route_field::whole;
    std::string problem;
    /// What would be right.
    std::string remedy;
};

/// Returns the routes that `route_table` never finds, that share a name, that ask for what is not served, or whose latency objective is
/// shorter than the jobs take.
std::vector<route_finding> checkRoutes(std::span<const route> routes);

/// Returns the routes whose service is not among the offered ones. `origin` says in the finding who offers them.
std::vector<route_finding> checkServices(std::span<const route> routes, const std::set<std::string> &offered, const std::string &origin);

}

#endif
