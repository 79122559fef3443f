#include "entry/job_json.h"

#include <cmath>
#include <set>

#include <nlohmann/json.hpp>

#include "base/submission_id.h"
#include "configuration/selector.h"
#include "transport/http_status.h"

namespace azuremoor
{

namespace
{

using nlohmann::json;

constexpr int MAX_DEPTH = 8;
constexpr std::size_t MAX_LABELS = 32;
constexpr double MAX_CORES = 4096;
constexpr double MILLI = 1000;
constexpr std::int64_t MAX_COUNT = 100'000'000;

[[noreturn]] void fail(const std::string &place, const std::string &reason)
{
    throw job_error{STATUS_BAD_REQUEST, place + ": " + reason};
}

void requireObject(const json &value, const std::string &place, const std::set<std::string> &known)
{
    if (!value.is_object()) {
        fail(place, "expected an object");
    }
    for (const auto &[key, entry] : value.items()) {
        if (!known.contains(key)) {
            fail(place + "/" + key, "unknown key");
        }
    }
}

std::string readText(const json &object, const std::string &key, const std::string &place, std::size_t limit, bool required)
{
    if (!object.contains(key)) {
        if (required) {
            fail(place + "/" + key, "missing");
        }
        return {};
    }
    const json &value = object[key];
    if (!value.is_string()) {
        fail(place + "/" + key, "expected a text");
    }
    auto text = value.get<std::string>();
    if (text.size() > limit) {
        fail(place + "/" + key, "longer than " + std::to_string(limit) + " bytes");
    }
    return text;
}

std::int64_t readWhole(
    const json &object, const std::string &key, const std::string &place, std::int64_t lowest, std::int64_t highest, std::int64_t absent)
{
    if (!object.contains(key)) {
        return absent;
    }
    const json &value = object[key];
    const bool inRange = value.is_number_integer() && value.get<std::int64_t>() >= lowest && value.get<std::int64_t>() <= highest
        && !(value.is_number_unsigned() && value.get<std::uint64_t>() > static_cast<std::uint64_t>(highest));
    if (!inRange) {
        fail(place + "/" + key, "expected a whole number from " + std::to_string(lowest) + " to " + std::to_string(highest));
    }
    return value.get<std::int64_t>();
}

task_shape readShape(const json &value, const std::string &place)
{
    task_shape shape;
    if (value.contains("cores")) {
        const json &cores = value["cores"];
        if (!cores.is_number() || cores.get<double>() < 0 || cores.get<double>() > MAX_CORES) {
            fail(place + "/cores", "expected a number from 0 to 4096");
        }
        shape.milliCores = static_cast<std::uint32_t>(std::ceil(cores.get<double>() * MILLI));
    }
    shape.memoryMegabytes = static_cast<std::uint32_t>(readWhole(value, "memory_mb", place, 0, MAX_COUNT, 0));
    shape.accelerators = static_cast<std::uint32_t>(readWhole(value, "accelerators", place, 0, MAX_COUNT, 0));
    return shape;
}

task_request readTask(const json &value, const std::string &place)
{
    requireObject(value, place, {"name", "payload", "idempotent", "cores", "memory_mb", "accelerators"});
    task_request task;
    task.name = readText(value, "name", place, MAX_NAME_BYTES, true);
    task.payload = readText(value, "payload", place, MAX_PAYLOAD_BYTES, false);
    if (value.contains("idempotent")) {
        if (!value["idempotent"].is_boolean()) {
            fail(place + "/idempotent", "expected true or false");
        }
        task.idempotent = value["idempotent"].get<bool>();
    }
    task.shape = readShape(value, place);
    return task;
}

std::vector<task_request> readTasks(const json &value)
{
    if (!value.is_array() || value.empty() || value.size() > MAX_TASKS_PER_JOB) {
        fail("/tasks", "expected a list of 1 to " + std::to_string(MAX_TASKS_PER_JOB) + " tasks");
    }
    std::vector<task_request> tasks;
    std::set<std::string> names;
    for (std::size_t index = 0; index < value.size(); ++index) {
        const std::string place = "/tasks/" + std::to_string(index);
        tasks.push_back(readTask(value[index], place));
        if (!names.insert(tasks.back().name).second) {
            fail(place + "/name", "another task of the job has this name");
        }
    }
    return tasks;
}

std::vector<label> readLabels(const json &value)
{
    if (!value.is_object() || value.size() > MAX_LABELS) {
        fail("/labels", "expected an object of at most 32 labels");
    }
    std::vector<label> labels;
    for (const auto &[key, entry] : value.items()) {
        labels.push_back({key, readText(value, key, "/labels", MAX_NAME_BYTES, true)});
    }
    return labels;
}

job_request readJob(const json &value)
{
    requireObject(value, "", {"id", "attempt", "team", "deadline", "labels", "selector", "tasks"});
    job_request job;
    job.id = readText(value, "id", "", MAX_SUBMISSION_ID_BYTES, true);
    if (!isValidSubmissionId(job.id)) {
        fail("/id", "expected 1 to 64 letters, digits, dashes, dots or underscores");
    }
    job.attempt = static_cast<std::uint32_t>(readWhole(value, "attempt", "", 1, MAX_COUNT, 1));
    job.team = value.contains("team") ? readText(value, "team", "", MAX_NAME_BYTES, true) : "default";
    if (!value.contains("deadline")) {
        fail("/deadline", "missing");
    }
    job.deadlineMilliseconds = readWhole(value, "deadline", "", 0, INT64_C(1) << 52, 0);
    if (value.contains("labels")) {
        job.labels = readLabels(value["labels"]);
    }
    job.selector = readText(value, "selector", "", 4096, false);
    const auto parsed = selector::parse(job.selector);
    if (!parsed) {
        fail("/selector", parsed.error().reason + " at character " + std::to_string(parsed.error().position));
    }
    if (!value.contains("tasks")) {
        fail("/tasks", "missing");
    }
    job.tasks = readTasks(value["tasks"]);
    return job;
}

http_response refusalResponse(const job_reply &reply)
{
    json body
        = {{"type", "about:blank"}, {"status", reply.status}, {"title", "Not Accepted"}, {"detail", reply.reason}, {"id", reply.jobId}};
    body["verdict"] = verdictName(reply.refusal);
    http_response response{static_cast<int>(reply.status), "application/problem+json", {}, {}};
    if (reply.retryAfterMilliseconds > 0) {
        // Whole seconds, as HTTP has it; at least one.
        response.headers["Retry-After"] = std::to_string((reply.retryAfterMilliseconds + 999) / 1000);
    }
    response.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
    return response;
}

json taskJson(const std::string &name, const task_outcome &outcome)
{
    json task = {{"name", name}, {"verdict", verdictName(outcome.outcome)}};
    if (outcome.isAnswered()) {
        task["answer"] = outcome.answer;
    } else {
        task["error"] = outcome.error;
        if (!outcome.answer.empty()) {
            task["answer"] = outcome.answer;
        }
    }
    return task;
}

}

tl::expected<job_request, job_error> parseJob(std::string_view text)
{
    bool tooDeep = false;
    const auto limitDepth = [&tooDeep](int depth, json::parse_event_t, json &) {
        tooDeep = tooDeep || depth > MAX_DEPTH;
        return depth <= MAX_DEPTH;
    };
    try {
        const json value = json::parse(text, limitDepth);
        if (tooDeep) {
            fail("/", "nested too deeply");
        }
        return readJob(value);
    } catch (const job_error &error) {
        return tl::unexpected(error);
    } catch (const json::exception &error) {
        return tl::unexpected(job_error{STATUS_BAD_REQUEST, std::string("the body is not JSON: ") + error.what()});
    }
}

http_response jobResponse(const job_reply &reply)
{
    if (reply.kind == reply_kind::refused) {
        return refusalResponse(reply);
    }
    if (reply.kind == reply_kind::unknown) {
        return problemResponse(STATUS_NOT_FOUND, "Not Found", "no job is known under the identifier " + reply.jobId);
    }
    if (reply.kind == reply_kind::pending) {
        const json body = {{"id", reply.jobId}, {"state", "running"}, {"ended_tasks", reply.endedTasks}, {"tasks", reply.taskNames.size()}};
        return {STATUS_ACCEPTED, "application/json", body.dump(), {}};
    }
    json tasks = json::array();
    for (std::size_t index = 0; index < reply.tasks.size(); ++index) {
        tasks.push_back(taskJson(reply.taskNames[index], reply.tasks[index]));
    }
    const json body = {{"id", reply.jobId}, {"state", reply.kind == reply_kind::complete ? "complete" : "failed"}, {"tasks", tasks}};
    return {200, "application/json", body.dump(-1, ' ', false, json::error_handler_t::replace), {}};
}

}
