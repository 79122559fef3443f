#include "checks/route_check.h"

#include <map>

namespace azuremoor
{

namespace
{

std::string describe(std::span<const route> routes, std::size_t index)
{
    return "route " + std::to_string(index) + " (" + routes[index].name + ")";
}

/// `route_table` takes the longest prefix that matches and, of equal ones, the first in the document. The path that equals a route's prefix
/// is matched by no longer prefix, so only an equal one of the same host can take all of its requests.
void checkPrefixes(std::span<const route> routes, std::vector<route_finding> &findings)
{
    std::map<std::pair<std::string_view, std::string_view>, std::size_t> firstRoutes;
    for (std::size_t index = 0; index < routes.size(); ++index) {
        const auto [first, isFirst] = firstRoutes.try_emplace({routes[index].host, routes[index].pathPrefix}, index);
        if (!isFirst) {
            findings.push_back({index,
                                route_field::path_prefix,
                                "the route never gets a request, since " + describe(routes, first->second)
                                    + " has the same host and path prefix and comes first",
                                "another path prefix, or one of the routes removed"});
        }
    }
}

void checkNames(std::span<const route> routes, std::vector<route_finding> &findings)
{
    std::map<std::string_view, std::size_t> firstRoutes;
    for (std::size_t index = 0; index < routes.size(); ++index) {
        const auto [first, isFirst] = firstRoutes.try_emplace(routes[index].name, index);
        if (!isFirst) {
            findings.push_back(
                {index,
                 route_field::name,
                 "the name is also that of " + describe(routes, first->second) + ", so their pending jobs are counted together",
                 "a name of its own"});
        }
    }
}

/// The objective of a job is the slack factor times its critical path, plus the target latency.
void checkObjective(const route &checked, std::size_t index, std::vector<route_finding> &findings)
{
    if (checked.slackFactor >= 1) {
        return;
    }
    const auto target = static_cast<double>(checked.targetLatency.count()) / 1000;
    const std::string limit = std::to_string(static_cast<std::int64_t>(target / (1 - checked.slackFactor)));
    findings.push_back({index,
                        route_field::slack_factor,
                        target > 0 ? "no job whose critical path is longer than " + limit + " ms can meet its latency objective"
                                   : "no job can meet its latency objective, which is shorter than its critical path",
                        "a slack factor of at least 1, or a target latency for the jobs to come"});
}

}

std::vector<route_finding> checkRoutes(std::span<const route> routes)
{
    std::vector<route_finding> findings;
    checkPrefixes(routes, findings);
    checkNames(routes, findings);
    for (std::size_t index = 0; index < routes.size(); ++index) {
        if (!routes[index].unsupported.empty()) {
            findings.push_back(
                {index, route_field::whole, "all jobs are refused: " + routes[index].unsupported, "a route without that feature"});
        }
        checkObjective(routes[index], index, findings);
    }
    return findings;
}

std::vector<route_finding> checkServices(std::span<const route> routes, const std::set<std::string> &offered, const std::string &origin)
{
    std::vector<route_finding> findings;
    for (std::size_t index = 0; index < routes.size(); ++index) {
        if (!offered.contains(routes[index].service)) {
            findings.push_back({index, route_field::service, "the service is not offered by " + origin, "one of the offered services"});
        }
    }
    return findings;
}

}
