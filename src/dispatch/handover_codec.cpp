#include "dispatch/handover_codec.h"

#include <algorithm>
#include <cmath>

namespace azuremoor
{

namespace
{

/// Largest slack factor, estimate and target latency that a route or a caller can have.
constexpr double MAX_SLACK_FACTOR = 1000;
constexpr microseconds MAX_DURATION = std::chrono::hours(24);

/// Longest time after which a refused job may be submitted again.
constexpr microseconds MAX_RETRY_TIME = seconds(60);

/// Bounds of a handed-over job, as those of a caller's job in `platform::decodeJob()`.
constexpr std::size_t JOB_ID_LENGTH = 16;
constexpr std::uint32_t MAX_MILLICORES = 4'000'000;
constexpr std::uint32_t MAX_COUNT = 4096;
constexpr std::uint32_t MAX_MEGABYTES = 64 * 1024 * 1024;

bool isJobId(std::string_view text)
{
    return text.size() == JOB_ID_LENGTH && text.find_first_not_of("0123456789abcdefABCDEF") == std::string_view::npos;
}

bool isPrintable(char character)
{
    return character >= ' ' && character <= '~';
}

/// Names of routes, services, labels and racks go into the journal and into pages, which only take valid text.
bool isName(const std::string &text)
{
    return text.size() <= MAX_NAME_BYTES && std::all_of(text.begin(), text.end(), isPrintable);
}

bool isShape(const task_shape &shape)
{
    return shape.milliCores <= MAX_MILLICORES && shape.memoryMegabytes <= MAX_MEGABYTES && shape.accelerators <= MAX_COUNT;
}

bool isDuration(std::int64_t value)
{
    return value >= 0 && value <= MAX_DURATION.count();
}

bool isValidStep(const handed_step &step, std::size_t index)
{
    return step.count >= 1 && isDuration(step.estimateMicroseconds) && isShape(step.shape) && step.maxTasksPerWorker <= MAX_COUNT
        && isName(step.requiredLabel) && isName(step.preferredRack) && step.dependsOn.size() <= MAX_HANDED_STEPS
        && std::all_of(step.dependsOn.begin(), step.dependsOn.end(), [index](std::uint32_t earlier) { return earlier < index; });
}

handed_step encodeStep(const step_spec &step)
{
    return {step.count, step.shape, step.estimate.count(), step.dependsOn, step.requiredLabel, step.preferredRack, step.maxTasksPerWorker};
}

step_spec decodeStep(const handed_step &step)
{
    return {step.count,
            step.shape,
            microseconds(step.estimateMicroseconds),
            step.dependsOn,
            step.requiredLabel,
            step.preferredRack,
            step.maxTasksPerWorker};
}

bool fitsMessage(const active_job &job)
{
    return isName(job.spec.id) && isName(job.matchedRoute.name) && isName(job.matchedRoute.service)
        && job.spec.payload.size() <= MAX_PAYLOAD_BYTES && job.spec.steps.size() <= MAX_HANDED_STEPS
        && job.tasks.size() <= MAX_TASKS_PER_JOB && std::all_of(job.spec.steps.begin(), job.spec.steps.end(), [](const step_spec &step) {
               return isName(step.requiredLabel) && isName(step.preferredRack) && step.dependsOn.size() <= MAX_HANDED_STEPS;
           });
}

}

std::optional<job_handover> encodeHandover(const active_job &job, steady_time now)
{
    if (!fitsMessage(job)) {
        return std::nullopt;
    }
    job_handover result;
    result.number = job.number;
    result.job = job.spec.id;
    result.payload = job.spec.payload;
    std::transform(job.spec.steps.begin(), job.spec.steps.end(), std::back_inserter(result.steps), encodeStep);
    const route &from = job.matchedRoute;
    result.route = {from.name, from.service, from.priority, from.maxAttempts, from.slackFactor, from.targetLatency.count()};
    result.elapsedMicroseconds = (now - job.arrival).count();
    result.remainingMicroseconds = (job.deadline - now).count();
    return result;
}

std::optional<job_spec> decodeHandedJob(const job_handover &handover)
{
    if (!isJobId(handover.job) || handover.payload.size() > MAX_PAYLOAD_BYTES || handover.steps.size() > MAX_HANDED_STEPS) {
        return std::nullopt;
    }
    std::size_t tasks = 0;
    job_spec result;
    result.id = handover.job;
    result.payload = handover.payload;
    for (const handed_step &step : handover.steps) {
        tasks += step.count;
        if (!isValidStep(step, result.steps.size()) || tasks > MAX_TASKS_PER_JOB) {
            return std::nullopt;
        }
        result.steps.push_back(decodeStep(step));
    }
    return result.steps.empty() ? std::nullopt : std::optional(std::move(result));
}

std::optional<route> decodeHandedRoute(const job_handover &handover)
{
    const handed_route &from = handover.route;
    const bool isSlackValid = std::isfinite(from.slackFactor) && from.slackFactor >= 0 && from.slackFactor <= MAX_SLACK_FACTOR;
    if (!isSlackValid || !isName(from.name) || !isName(from.service) || !isDuration(from.targetLatencyMicroseconds)
        || !isDuration(handover.elapsedMicroseconds) || !isDuration(handover.remainingMicroseconds)) {
        return std::nullopt;
    }
    route result;
    result.name = from.name;
    result.service = from.service;
    result.priority = from.priority;
    result.maxAttempts = std::max<std::uint32_t>(from.maxAttempts, 1);
    result.slackFactor = from.slackFactor;
    result.targetLatency = microseconds(from.targetLatencyMicroseconds);
    return result;
}

std::string printableText(std::string_view text)
{
    std::string result(text.substr(0, MAX_HANDOVER_REASON_BYTES));
    std::replace_if(
        result.begin(), result.end(), [](char character) { return !isPrintable(character); }, '?');
    return result;
}

handover_answer encodeHandoverAnswer(std::uint64_t number, const job_answer &answer, steady_time now, bool mayRun)
{
    const bool isRefusal = answer.kind == answer_kind::refused_full || answer.kind == answer_kind::refused_unavailable;
    return {number,
            static_cast<handover_answer_kind>(answer.kind),
            answer.reason.substr(0, MAX_HANDOVER_REASON_BYTES),
            isRefusal ? std::max<std::int64_t>((answer.retryAt - now).count(), 0) : 0,
            mayRun};
}

job_answer decodeHandoverAnswer(const handover_answer &answer, steady_time now)
{
    const std::int64_t delay = std::clamp<std::int64_t>(answer.retryAfterMicroseconds, 0, MAX_RETRY_TIME.count());
    return {static_cast<answer_kind>(answer.kind), printableText(answer.reason), now + microseconds(delay)};
}

}
