#ifndef AZUREMOOR_TELEMETRY_METRICS_PAGE_H
#define AZUREMOOR_TELEMETRY_METRICS_PAGE_H

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace azuremoor
{

/// One value of a counter or gauge, as it stands when the page is asked for.
struct metric_sample {
    std::string name;
    std::string help;
    bool isCounter = true;
    std::map<std::string, std::string> labels;
    double value = 0;
};

/// Returns a sample of a counter, which only rises.
metric_sample counterSample(std::string name, std::string help, double value, std::map<std::string, std::string> labels = {});

/// Returns a sample of a gauge.
metric_sample gaugeSample(std::string name, std::string help, double value, std::map<std::string, std::string> labels = {});

/**
 * The metrics of a process in the text format of Prometheus: histograms that are kept here, and samples that the decision objects
 * count themselves.
 */
class metrics_page
{
public:
    metrics_page();

    /// Adds a histogram of durations in seconds.
    prometheus::Histogram &addDurations(const std::string &name, const std::string &help);

    /// Returns the page, with the samples on it.
    std::string render(const std::vector<metric_sample> &samples) const;

private:
    std::shared_ptr<prometheus::Registry> m_registry;
};

}

#endif
