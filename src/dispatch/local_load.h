#ifndef AZUREMOOR_DISPATCH_LOCAL_LOAD_H
#define AZUREMOOR_DISPATCH_LOCAL_LOAD_H

#include "base/time_source.h"
#include "dispatch/decaying_rate.h"
#include "messages/entry_messages.h"

namespace azuremoor
{

/// Reports the load of this entry to others.
class entry_load_source
{
public:
    virtual ~entry_load_source() = default;

    /// Returns the present load.
    virtual entry_load currentLoad() const = 0;
};

/**
 * The load of this entry: what its callers ask for, what it orders, and how short its processor and link are.
 *
 * Work is estimated processor time, in thousandths of a core times microseconds.
 */
class local_load
{
public:
    local_load();

    /// Records a job that a caller submitted, whether it is admitted or not.
    void recordAskedWork(double work, steady_time now);

    /// Records an ordered run.
    void recordOrderedWork(double work, steady_time now);

    /// Sets how long a request waits for the processor.
    void setProcessorDelay(microseconds delay);

    /// Sets how long a payload waits for the link.
    void setLinkDelay(microseconds delay);

    /// Sets whether the entry can take jobs.
    void setAcceptsJobs(bool acceptsJobs);

    /// Returns the rate at which callers ask for work, in thousandths of a core.
    double askedMilliCores(steady_time now) const;

    /// Returns the rate at which work is ordered, in thousandths of a core.
    double orderedMilliCores(steady_time now) const;

    /// Returns how long a request waits for the processor.
    microseconds processorDelay() const;

    /// Returns how long a payload waits for the link.
    microseconds linkDelay() const;

    /// Returns the report for other entries, without the waiting work.
    entry_load report(steady_time now) const;

private:
    decaying_rate m_askedRate;
    decaying_rate m_orderedRate;
    microseconds m_processorDelay{0};
    microseconds m_linkDelay{0};
    bool m_acceptsJobs = false;
};

}

#endif
