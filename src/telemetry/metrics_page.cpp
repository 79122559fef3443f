#include "telemetry/metrics_page.h"

#include <algorithm>

#include <prometheus/family.h>
#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

namespace azuremoor
{

namespace
{

const prometheus::Histogram::BucketBoundaries DURATION_BUCKETS
    = {0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30, 60};

prometheus::ClientMetric toMetric(const metric_sample &sample)
{
    prometheus::ClientMetric metric;
    for (const auto &[name, value] : sample.labels) {
        metric.label.push_back({name, value});
    }
    metric.counter.value = sample.isCounter ? sample.value : 0;
    metric.gauge.value = sample.isCounter ? 0 : sample.value;
    return metric;
}

}

metric_sample counterSample(std::string name, std::string help, double value, std::map<std::string, std::string> labels)
{
    return {std::move(name), std::move(help), true, std::move(labels), value};
}

metric_sample gaugeSample(std::string name, std::string help, double value, std::map<std::string, std::string> labels)
{
    return {std::move(name), std::move(help), false, std::move(labels), value};
}

metrics_page::metrics_page()
    : m_registry(std::make_shared<prometheus::Registry>())
{
}

prometheus::Histogram &metrics_page::addDurations(const std::string &name, const std::string &help)
{
    return prometheus::BuildHistogram().Name(name).Help(help).Register(*m_registry).Add({}, DURATION_BUCKETS);
}

std::string metrics_page::render(const std::vector<metric_sample> &samples) const
{
    std::vector<prometheus::MetricFamily> families = m_registry->Collect();
    for (const metric_sample &sample : samples) {
        auto family
            = std::find_if(families.begin(), families.end(), [&sample](const auto &candidate) { return candidate.name == sample.name; });
        if (family == families.end()) {
            prometheus::MetricFamily added;
            added.name = sample.name;
            added.help = sample.help;
            added.type = sample.isCounter ? prometheus::MetricType::Counter : prometheus::MetricType::Gauge;
            families.push_back(std::move(added));
            family = std::prev(families.end());
        }
        family->metric.push_back(toMetric(sample));
    }
    return prometheus::TextSerializer().Serialize(families);
}

}
