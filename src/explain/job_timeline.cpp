#include "explain/job_timeline.h"

#include <algorithm>
#include <array>

namespace azuremoor
{

namespace
{

/// Describes an event in words; names in braces stand for fields.
struct event_phrase {
    std::string_view event;
    std::string_view words;
};

constexpr std::array<event_phrase, 17> JOB_PHRASES = {{
    {"job_admitted",
     "admitted to queue {queue}: expected wait {expected_wait_us} us, {free_millicores} of {capacity_millicores} millicores free"},
    {"job_refused",
     "refused by queue {queue}: expected wait {expected_wait_us} us, {free_millicores} of {capacity_millicores} millicores free, "
     "link {link_delay_us} us, processor {processor_delay_us} us"},
    {"job_awaits_workers", "waits for a worker to connect, since the entry has just started"},
    {"job_joined", "the same job was submitted again and joined"},
    {"job_unreadable", "the submission could not be read: {reason}"},
    {"run_ordered", "run {run} of {task} ordered from {agent}, which had {free_millicores} millicores free {status_age_us} us before"},
    {"run_ended", "run {run} of {task} at {agent} ended as {outcome}"},
    {"run_moved", "the run of {task} at {agent} was {health} at {percent}% and is stopped, to begin elsewhere"},
    {"order_refused_evacuated",
     "run {run} of {task} from {entry} was refused, since {data_centre} is evacuated (version {version}, known for {state_age_us} us)"},
    {"job_refused_evacuated", "no worker outside the evacuated data centres can run it; evacuated: {evacuated}"},
    {"run_preempted",
     "the run of {task} at {agent}, of priority {priority}, is stopped after {age_us} of {expected_us} us for {for_job} of priority "
     "{for_priority}"},
    {"start_refused", "run {run} of {task} was refused by the worker: {reply}"},
    {"job_answered", "answered as {answer} after {after_us} us ({late_us} us past its objective); {reason}"},
    {"job_dropped", "dropped without an answer: {reason}"},
    {"job_handed_over", "handed over to {entry} {elapsed_us} us after arrival, for lack of {shortage}"},
    {"handover_taken", "taken over from {entry}, whose last sign of life was {sign_age_us} us old"},
    {"handover_ended", "the handover with {entry} ended as {answer} at its {side}; {reason}"},
}};

constexpr std::array<event_phrase, 24> PROCESS_PHRASES = {{
    {"started", "started"},
    {"stopping", "was told to stop"},
    {"stopped", "ended"},
    {"stop_deadline_passed", "ran out of time while stopping"},
    {"agent_connected", "reached by {agent}"},
    {"agent_disconnected", "lost the connection of {agent} with {runs} runs"},
    {"worker_state", "learned from {agent}: ready {ready}, draining {draining}"},
    {"runs_presumed_ended", "took {runs} runs at {agent} as over: {reason}"},
    {"entry_connected", "connected to {entry}"},
    {"entry_disconnected", "lost the connection to {entry}"},
    {"entry_lease_ended", "ended the runs of {entry}: {reason}"},
    {"origin_lease_ended", "ended {runs} runs that {entry} had taken over from {origin}"},
    {"worker_known", "knows worker {worker}"},
    {"worker_held", "holds the lease of worker {worker}"},
    {"worker_draining", "its worker drains with {runs} runs"},
    {"worker_lost", "lost worker {worker} with {runs} runs: {reason}"},
    {"lease_lapsed", "lost the lease of its worker with {runs} runs"},
    {"renewal_failed", "could not renew the lease of its worker: {reply}"},
    {"evacuation_begun", "learned from {source} that {data_centre} is evacuated (version {version}): it gets no further tasks"},
    {"evacuation_withdrawn", "learned from {source} that {data_centre} is in use again (version {version}): load returns gradually"},
    {"evacuation_unreadable", "ignored a declaration on {data_centre} (version {version}) from {source}: {reason}"},
    {"store_lost", "lost the store: {reason}"},
    {"readiness_changed", "told the balancer ready {ready}: processor {processor_delay_us} us, link {link_delay_us} us"},
    {"routing_in_force", "routing configuration {version} in force, from {source}"},
}};

template<std::size_t Size>
const event_phrase *findPhrase(const std::array<event_phrase, Size> &phrases, std::string_view event)
{
    const auto found = std::find_if(phrases.begin(), phrases.end(), [event](const event_phrase &each) { return each.event == event; });
    return found == phrases.end() ? nullptr : &*found;
}

std::string fieldText(const nlohmann::json &fields, const std::string &name)
{
    const auto found = fields.find(name);
    if (found == fields.end()) {
        return "?";
    }
    return found->is_string() ? found->get<std::string>() : found->dump();
}

std::string inWords(std::string_view words, const nlohmann::json &fields)
{
    std::string result;
    while (!words.empty()) {
        const std::size_t open = words.find('{');
        const std::size_t close = words.find('}');
        if (open == std::string_view::npos || close == std::string_view::npos) {
            return result.append(words);
        }
        result.append(words.substr(0, open));
        result.append(fieldText(fields, std::string(words.substr(open + 1, close - open - 1))));
        words.remove_prefix(close + 1);
    }
    return result;
}

std::int64_t fieldNumber(const nlohmann::json &fields, const std::string &name)
{
    return std::strtoll(fieldText(fields, name).c_str(), nullptr, 10);
}

}

job_timeline::job_timeline(std::string job)
    : m_job(std::move(job))
{
}

void job_timeline::addLine(std::string_view line)
{
    const nlohmann::json value = nlohmann::json::parse(line, nullptr, false);
    if (!value.is_object() || !value.contains("event") || !value.contains("time")) {
        ++m_unread;
        return;
    }
    logged_event event{fieldText(value, "time"), fieldText(value, "process"), fieldText(value, "event"), value};
    if (isAboutJob(value)) {
        m_own.push_back(std::move(event));
    } else if (findPhrase(PROCESS_PHRASES, event.event) != nullptr) {
        m_others.push_back(std::move(event));
    }
}

bool job_timeline::isKnown() const
{
    return !m_own.empty();
}

std::size_t job_timeline::unreadLines() const
{
    return m_unread;
}

std::string job_timeline::text() const
{
    std::string result;
    for (const logged_event *event : relevantEvents()) {
        const event_phrase *phrase = findPhrase(JOB_PHRASES, event->event);
        if (phrase == nullptr) {
            phrase = findPhrase(PROCESS_PHRASES, event->event);
        }
        result += event->time + "  " + event->process + "  " + (phrase == nullptr ? event->event : inWords(phrase->words, event->fields));
        const auto omitted = event->fields.find("omitted");
        result += omitted == event->fields.end() ? "\n" : "  (" + omitted->dump() + " lines of this kind are missing before)\n";
    }
    return result + conclusion();
}

bool job_timeline::isAboutJob(const nlohmann::json &fields) const
{
    if (fieldText(fields, "job") == m_job) {
        return true;
    }
    const std::string task = fieldText(fields, "task");
    return task.starts_with(m_job + '.');
}

std::vector<const job_timeline::logged_event *> job_timeline::relevantEvents() const
{
    std::vector<const logged_event *> result;
    std::set<std::string> participants;
    std::string begin;
    std::string end;
    for (const logged_event &event : m_own) {
        result.push_back(&event);
        participants.insert(event.process);
        participants.insert(fieldText(event.fields, "agent"));
        begin = begin.empty() ? event.time : std::min(begin, event.time);
        end = std::max(end, event.time);
    }
    for (const logged_event &event : m_others) {
        if (event.time >= begin && event.time <= end && concernsParticipant(event, participants)) {
            result.push_back(&event);
        }
    }
    std::stable_sort(
        result.begin(), result.end(), [](const logged_event *one, const logged_event *other) { return one->time < other->time; });
    return result;
}

bool job_timeline::concernsParticipant(const logged_event &event, const std::set<std::string> &participants) const
{
    const auto agent = event.fields.find("agent");
    if (agent != event.fields.end()) {
        return participants.contains(event.process) && participants.contains(fieldText(event.fields, "agent"));
    }
    return participants.contains(event.process);
}

std::string job_timeline::conclusion() const
{
    const auto isAnswer = [](const logged_event &event) { return event.event == "job_answered"; };
    const auto answered = std::find_if(m_own.rbegin(), m_own.rend(), isAnswer);
    if (answered == m_own.rend()) {
        return "No answer is in these logs: either the caller left, or the entry ended, or its line was omitted.\n";
    }
    const nlohmann::json &fields = answered->fields;
    std::string result;
    const bool isHandedOver = std::any_of(m_own.begin(), m_own.end(), [&](const logged_event &event) {
        return event.event == "job_handed_over" && event.process == answered->process;
    });
    if (isHandedOver && fieldNumber(fields, "orders") == 0 && !fieldText(fields, "answer").starts_with("refused")) {
        result += "Its runs were ordered by the entry that took it over.\n";
    } else if (fieldNumber(fields, "orders") == 0) {
        result += "No run was ordered: the job has not run.\n";
    } else {
        result += fieldText(fields, "orders") + " runs were ordered, the last " + fieldText(fields, "last_order_us") + " us after arrival; "
            + fieldText(fields, "refused_orders") + " found no room, " + fieldText(fields, "lost_runs") + " ended without success.\n";
    }
    if (fieldNumber(fields, "late_us") > 0 && fieldText(fields, "answer") == "completed") {
        result += "It was late by " + fieldText(fields, "late_us") + " us.\n";
    }
    return result;
}

}
