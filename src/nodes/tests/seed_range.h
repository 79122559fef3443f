#ifndef AZUREMOOR_NODES_TESTS_SEED_RANGE_H
#define AZUREMOOR_NODES_TESTS_SEED_RANGE_H

#include <atomic>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace azuremoor::testing
{

/// An inclusive range of seeds.
struct seed_range {
    std::uint64_t first = 1;
    std::uint64_t last = 1;

    /// Parses a range of the form `A..B`. Returns nothing if the text has no `..` or contains other characters than digits and dots.
    /// Throws std::invalid_argument if one side does not start with a digit and std::out_of_range if a number is too large. Characters
    /// after the second number are ignored.
    static std::optional<seed_range> parse(const std::string &text)
    {
        const std::size_t dots = text.find("..");
        if (dots == std::string::npos || text.find_first_not_of("0123456789.") != std::string::npos) {
            return std::nullopt;
        }
        return seed_range{std::stoull(text.substr(0, dots)), std::stoull(text.substr(dots + 2))};
    }

    /// Calls the function for every seed, in one thread per processor. The function must be thread-safe, and its result for a seed must not
    /// depend on which other seeds run at the same time.
    void forEach(const std::function<void(std::uint64_t seed)> &function) const
    {
        std::atomic<std::uint64_t> next = first;
        std::vector<std::thread> threads;
        for (unsigned number = 0; number < std::max(1U, std::thread::hardware_concurrency()); ++number) {
            threads.emplace_back([this, &next, &function] {
                for (std::uint64_t seed = next++; seed <= last; seed = next++) {
                    function(seed);
                }
            });
        }
        for (std::thread &thread : threads) {
            thread.join();
        }
    }
};

}

#endif
