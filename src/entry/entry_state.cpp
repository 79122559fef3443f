#include "entry/entry_state.h"

#include "daemon/state_json.h"

namespace azuremoor
{

namespace
{

/// Workers that a state dump lists, so that its size is bounded.
constexpr std::size_t LISTED_WORKERS = 200;

std::string_view custodyName(shard_state state)
{
    switch (state) {
    case shard_state::not_owned:
        return "not_owned";
    case shard_state::recovering:
        return "recovering";
    case shard_state::serving:
        return "serving";
    case shard_state::handing_over:
        break;
    }
    return "handing_over";
}

nlohmann::json shardsJson(const shard_state_tracker &custody)
{
    nlohmann::json shards = nlohmann::json::array();
    for (const shard_epoch &owned : custody.ownedShards()) {
        nlohmann::json entry = {{"shard", owned.shard}, {"epoch", owned.epoch}, {"state", custodyName(custody.state(owned.shard))}};
        const auto horizon = custody.evidenceLostBefore(owned.shard);
        if (horizon) {
            entry["evidence_lost_before_ms"] = unixMilliseconds(*horizon);
        }
        shards.push_back(entry);
    }
    return shards;
}

nlohmann::json workersJson(const worker_directory &directory)
{
    nlohmann::json workers = nlohmann::json::array();
    for (const auto &[name, worker] : directory.workers()) {
        if (workers.size() == LISTED_WORKERS) {
            break;
        }
        nlohmann::json labels = nlohmann::json::object();
        for (const label &entry : worker.labels) {
            labels[entry.key] = entry.value;
        }
        workers.push_back({{"agent", name},
                           {"connected", worker.connected},
                           {"accepts_work", worker.acceptsWork()},
                           {"drained", worker.drained},
                           {"leaving", worker.status.leaving},
                           {"slots", worker.status.slots},
                           {"believed_free", worker.estimatedFreeSlots},
                           {"labels", labels}});
    }
    return workers;
}

nlohmann::json jobsJson(const job_owner &jobs)
{
    const owner_counters &counters = jobs.counters();
    const placer_counters &placer = jobs.placer().counters();
    return {{"remembered", jobs.jobCount()},
            {"open", jobs.openJobCount()},
            {"waiting_tasks", jobs.placer().waiting()},
            {"submissions", counters.submissions},
            {"admitted", counters.admitted},
            {"attached", counters.attached},
            {"refused", counters.refused},
            {"complete", counters.complete},
            {"failed", counters.failed},
            {"adopted", counters.adopted},
            {"uncertain", counters.uncertain},
            {"handed_over", counters.handedOver},
            {"requeued", counters.requeued},
            {"revocations", counters.revocations},
            {"closures", counters.tombstones},
            {"late_results", counters.lateResults},
            {"starts", placer.starts},
            {"start_messages", placer.startMessages},
            {"demands_sent", placer.demandsSent},
            {"demands_withdrawn", placer.demandsWithdrawn},
            {"credits_received", placer.creditsReceived},
            {"credits_returned", placer.creditsReturned}};
}

}

nlohmann::json describeEntry(entry_node &node)
{
    const entry_node_settings &settings = node.settings();
    nlohmann::json state;
    state["name"] = settings.self.name;
    state["role"] = "entry";
    state["incarnation"] = settings.self.incarnation;
    state["data_centre"] = settings.self.dataCentre;
    state["leaving"] = node.isLeaving();
    state["control"] = controlJson(node.stream(), node.freshness(), node.publisher());
    state["live_entries"] = node.heartbeats().liveEntries();
    state["shards"] = shardsJson(node.shardStates());
    state["jobs"] = jobsJson(node.jobs());
    state["requests"] = {{"pending", node.gateway().pending()}, {"forwarded_again", node.gateway().forwardedAgain()}};
    state["workers"] = workersJson(node.jobs().placer().directory());
    state["decisions"] = journalJson(node.journal());
    return state;
}

std::vector<metric_sample> entrySamples(entry_node &node)
{
    const owner_counters &jobs = node.jobs().counters();
    const placer_counters &placer = node.jobs().placer().counters();
    const auto counter = [](const char *name, const char *help, std::uint64_t value, std::map<std::string, std::string> labels = {}) {
        return counterSample(name, help, static_cast<double>(value), std::move(labels));
    };
    constexpr const char *WASTED = "azuremoor_wasted_messages_total";
    constexpr const char *WASTED_HELP = "Messages that achieved nothing, by kind";
    std::vector<metric_sample> samples = {
        counter("azuremoor_submissions_total", "Submissions that reached this owner", jobs.submissions),
        counter("azuremoor_jobs_admitted_total", "Jobs that were admitted", jobs.admitted),
        counter("azuremoor_jobs_refused_total", "Submissions that were refused", jobs.refused),
        counter("azuremoor_jobs_ended_total", "Jobs that ended", jobs.complete, {{"state", "complete"}}),
        counter("azuremoor_jobs_ended_total", "Jobs that ended", jobs.failed, {{"state", "failed"}}),
        counter("azuremoor_task_starts_total", "Starts that were sent", placer.starts),
        counter(WASTED, WASTED_HELP, jobs.attached, {{"kind", "resubmission"}}),
        counter(WASTED, WASTED_HELP, jobs.requeued, {{"kind", "refused_start"}}),
        counter(WASTED, WASTED_HELP, jobs.revocations, {{"kind", "revocation"}}),
        counter(WASTED, WASTED_HELP, jobs.lateResults, {{"kind", "late_result"}}),
        counter(WASTED, WASTED_HELP, placer.creditsReturned, {{"kind", "returned_credit"}}),
        counter(WASTED, WASTED_HELP, placer.demandsWithdrawn, {{"kind", "withdrawn_demand"}}),
        counter(WASTED, WASTED_HELP, node.gateway().forwardedAgain(), {{"kind", "forwarded_again"}}),
        gaugeSample("azuremoor_waiting_tasks", "Tasks that wait for a slot", static_cast<double>(node.jobs().placer().waiting())),
        gaugeSample("azuremoor_open_jobs", "Jobs that have not ended", static_cast<double>(node.jobs().openJobCount())),
        gaugeSample("azuremoor_owned_shards", "Shards that this entry owns", static_cast<double>(node.shardStates().ownedShards().size())),
    };
    addControlSamples(samples, node.stream(), node.freshness(), node.publisher());
    return samples;
}

}
