#include "entry/entry_service.h"

#include "daemon/incarnation.h"
#include "daemon/state_json.h"
#include "entry/entry_state.h"
#include "entry/job_json.h"
#include "fleet/member_json.h"
#include "transport/http_status.h"

namespace azuremoor
{

namespace
{

constexpr milliseconds TICK_INTERVAL{20};
constexpr std::size_t LOG_CONNECTIONS = 4;

/// Time after which an operator's change that was not read back is reported as uncertain.
constexpr seconds CHANGE_TIMEOUT{10};

hello helloFor(const process_settings &settings, std::uint64_t incarnation)
{
    return {settings.name, member_role::entry, incarnation, settings.dataCentre, settings.rack};
}

std::string advertisedAddress(const process_settings &settings, const peer_mesh &mesh)
{
    return settings.advertise.empty() ? mesh.address().text() : settings.advertise;
}

nlohmann::json versionJson(const published_configuration &version)
{
    return {{"version", version.version},
            {"author", version.author},
            {"at_ms", unixMilliseconds(version.writtenAt)},
            {"document", nlohmann::json::parse(version.document, nullptr, false, true)}};
}

}

entry_service::entry_service(const entry_settings &settings)
    : m_settings(settings)
    , m_frame(settings.process, http_limits{static_cast<std::size_t>(settings.maxBodyBytes), 16 * 1024, 30})
    , m_mesh(m_frame.loop(), helloFor(settings.process, newIncarnation()), socket_address::parse(settings.process.listen).value(), *this)
    , m_client(m_frame.loop(), LOG_CONNECTIONS)
    , m_platform(m_frame.time(),
                 m_client,
                 http_url::parse(settings.process.log).value(),
                 settings.process.controlStream(),
                 [this](const std::string &recordId, bool acknowledged) { m_node.noteAppend(recordId, acknowledged); })
    , m_node(m_frame.time(),
             settings.nodeSettings(m_mesh.self().incarnation, advertisedAddress(settings.process, m_mesh)),
             {m_mesh, m_platform, *this, *this},
             m_mesh.self().incarnation)
    , m_jobSeconds(m_frame.metrics().addDurations("azuremoor_job_duration_seconds", "Time from the admission of a job to its reply"))
    , m_lagSeconds(
          m_frame.metrics().addDurations("azuremoor_job_lag_seconds", "Time by which a job took longer than the longest of its tasks ran"))
    , m_waitSeconds(m_frame.metrics().addDurations("azuremoor_task_queue_seconds", "Time from the admission of a task to its start"))
    , m_runSeconds(m_frame.metrics().addDurations("azuremoor_task_run_seconds", "Time from the start of a task to its outcome"))
{
}

int entry_service::run()
{
    m_node.journal().setListener(&m_frame);
    m_frame.loop().every(TICK_INTERVAL, [this] { tick(); });
    m_frame.loop().every(milliseconds(m_settings.process.logPollMs), [this] { readLog(); });
    m_frame.log().write(log_level::info, "listening", {{"messages", m_mesh.address().text()}, {"incarnation", m_mesh.self().incarnation}});
    readLog();
    return m_frame.run(*this);
}

nlohmann::json entry_service::describeState()
{
    nlohmann::json state = describeEntry(m_node);
    state["mesh"] = meshJson(m_mesh);
    state["log"]
        = {{"reads", m_platform.reads()}, {"failed_reads", m_platform.failedReads()}, {"appends", m_node.publisher().appendCount()}};
    state["waiting_callers"] = m_httpByRequest.size();
    return state;
}

std::vector<metric_sample> entry_service::samples()
{
    std::vector<metric_sample> samples = entrySamples(m_node);
    for (const auto &[outcome, count] : m_tasksByVerdict) {
        samples.push_back(counterSample("azuremoor_tasks_ended_total",
                                        "Tasks that ended, by verdict",
                                        static_cast<double>(count),
                                        {{"verdict", std::string(verdictName(outcome))}}));
    }
    addMeshSamples(samples, m_mesh);
    return samples;
}

std::string entry_service::unhealthyReason()
{
    if (!m_node.freshness().isFresh()) {
        return "the entry hears neither the log nor enough of the other entries";
    }
    const fleet_member *self = m_node.stream().state().member(m_settings.process.name);
    if (self == nullptr || self->incarnation != m_mesh.self().incarnation) {
        return "the entry is not yet registered";
    }
    for (std::uint32_t shard = 0; shard < SHARD_COUNT; ++shard) {
        if (m_node.stream().state().ownership(shard).epoch == 0) {
            return "not every shard has an owner yet";
        }
    }
    return {};
}

bool entry_service::handleOwnRequest(const http_request &request)
{
    const std::string jobs = "/v1/jobs/";
    const std::string explain = "/v1/explain/";
    const std::string members = "/v1/members/";
    if (request.path == "/v1/jobs") {
        submitJob(request);
    } else if (request.path.starts_with(jobs) && request.path.size() > jobs.size()) {
        queryJob(request, request.path.substr(jobs.size()));
    } else if (request.path.starts_with(explain) && request.path.size() > explain.size()) {
        explainJob(request, request.path.substr(explain.size()));
    } else if (request.path == "/v1/configuration") {
        request.method == "PUT" ? putConfiguration(request) : getConfiguration(request);
    } else if (request.path == "/v1/configuration/history") {
        getHistory(request);
    } else if (request.path == "/v1/members") {
        getMembers(request);
    } else if (request.path.starts_with(members) && request.path.size() > members.size()) {
        forgetMember(request, request.path.substr(members.size()));
    } else {
        return false;
    }
    return true;
}

void entry_service::abandonOwnRequest(std::uint64_t id)
{
    m_changes.erase(id);
    const auto found = m_requestByHttp.find(id);
    if (found == m_requestByHttp.end()) {
        return;
    }
    m_node.gateway().abandon(found->second);
    m_httpByRequest.erase(found->second);
    m_requestByHttp.erase(found);
}

void entry_service::beginStop()
{
    m_frame.http().closeListener();
    m_node.beginLeaving();
}

bool entry_service::hasStopped()
{
    return m_node.hasLeft() && m_frame.http().pending() == 0;
}

nlohmann::json entry_service::describeUnfinished()
{
    return {{"open_jobs", m_node.jobs().openJobCount()},
            {"waiting_callers", m_httpByRequest.size()},
            {"owned_shards", m_node.shardStates().ownedShards().size()}};
}

void entry_service::connectPeer(const hello &peer)
{
    m_frame.log().write(
        log_level::info, "peer_connected", {{"peer", peer.name}, {"role", roleName(peer.role)}, {"incarnation", peer.incarnation}});
    m_node.connectPeer(peer);
}

void entry_service::disconnectPeer(const std::string &peer)
{
    m_frame.log().write(log_level::warning, "peer_disconnected", {{"peer", peer}});
    m_node.disconnectPeer(peer);
}

void entry_service::handleMessage(const std::string &peer, const message &value)
{
    m_node.handle(peer, value);
}

void entry_service::flush()
{
    m_node.flush();
}

void entry_service::answer(std::uint64_t requestId, const job_reply &reply)
{
    const auto found = m_httpByRequest.find(requestId);
    if (found == m_httpByRequest.end()) {
        return;
    }
    const std::uint64_t httpId = found->second;
    m_httpByRequest.erase(found);
    m_requestByHttp.erase(httpId);
    m_frame.http().answer(httpId, jobResponse(reply));
}

void entry_service::taskEnded(verdict outcome, microseconds waited, microseconds ran)
{
    ++m_tasksByVerdict[outcome];
    const auto inSeconds = [](microseconds value) { return std::chrono::duration<double>(value).count(); };
    m_waitSeconds.Observe(inSeconds(waited));
    m_runSeconds.Observe(inSeconds(ran));
}

void entry_service::jobEnded(reply_kind, microseconds took, microseconds longestRun)
{
    m_jobSeconds.Observe(std::chrono::duration<double>(took).count());
    m_lagSeconds.Observe(std::chrono::duration<double>(took - longestRun).count());
}

void entry_service::submitJob(const http_request &request)
{
    if (request.method != "POST") {
        methodNotAllowed(request, "POST");
        return;
    }
    const auto job = parseJob(request.body);
    if (!job) {
        m_frame.http().answer(request.id, problemResponse(job.error().status, "Bad Request", job.error().detail));
        return;
    }
    if (m_node.isLeaving() || m_node.gateway().isFull()) {
        refuseForNow(request);
        return;
    }
    const bool wait = request.queryOr("wait", "true") != "false";
    const std::uint64_t requestId = m_node.gateway().submit(*job);
    if (wait) {
        m_httpByRequest[requestId] = request.id;
        m_requestByHttp[request.id] = requestId;
        return;
    }
    const nlohmann::json body = {{"id", job->id}, {"state", "accepted"}, {"follow", "/v1/jobs/" + job->id}};
    m_frame.http().answer(request.id, {STATUS_ACCEPTED, "application/json", body.dump(), {{"Location", "/v1/jobs/" + job->id}}});
}

void entry_service::refuseForNow(const http_request &request)
{
    const std::string reason = m_node.isLeaving() ? "this entry is stopping" : "too many requests wait at this entry";
    http_response problem = problemResponse(STATUS_UNAVAILABLE, "Unavailable", reason + "; nothing was started for this request");
    problem.headers["Retry-After"] = "1";
    // The next try is to reach another entry.
    problem.headers["Connection"] = "close";
    m_frame.http().answer(request.id, problem);
}

void entry_service::queryJob(const http_request &request, const std::string &jobId)
{
    const bool cancel = request.method == "DELETE";
    if (!cancel && request.method != "GET") {
        methodNotAllowed(request, "GET, DELETE");
        return;
    }
    if (!isValidSubmissionId(jobId)) {
        m_frame.http().answer(request.id, problemResponse(STATUS_BAD_REQUEST, "Bad Request", "not an identifier of a job: " + jobId));
        return;
    }
    const std::uint64_t requestId = m_node.gateway().query(jobId, cancel);
    m_httpByRequest[requestId] = request.id;
    m_requestByHttp[request.id] = requestId;
}

void entry_service::explainJob(const http_request &request, const std::string &jobId)
{
    const shard_ownership &ownership = m_node.stream().state().ownership(shardOf(jobId));
    nlohmann::json body = {{"id", jobId}, {"shard", shardOf(jobId)}, {"owner", ownership.owner}, {"epoch", ownership.epoch}};
    const owned_job *job = m_node.jobs().find(jobId);
    if (job != nullptr) {
        body["tasks"] = m_node.jobs().explain(*job);
    }
    m_frame.http().answer(request.id, {200, "application/json", body.dump(2), {}});
}

void entry_service::getConfiguration(const http_request &request)
{
    if (request.method != "GET") {
        methodNotAllowed(request, "GET, PUT");
        return;
    }
    const std::string wanted = request.queryOr("version", "");
    const auto &history = m_node.stream().state().configurationHistory();
    if (wanted.empty() && history.empty()) {
        m_frame.http().answer(request.id, {200, "application/json", versionJson({}).dump(), {}});
        return;
    }
    for (const published_configuration &version : history) {
        if (wanted.empty() ? version.version == history.back().version : std::to_string(version.version) == wanted) {
            m_frame.http().answer(request.id, {200, "application/json", versionJson(version).dump(), {}});
            return;
        }
    }
    m_frame.http().answer(request.id,
                          problemResponse(STATUS_NOT_FOUND, "Not Found", "version " + wanted + " is not among the versions that are kept"));
}

void entry_service::putConfiguration(const http_request &request)
{
    const nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
    const bool valid = body.is_object() && body.contains("base_version") && body["base_version"].is_number_unsigned()
        && body.contains("document") && body.contains("author") && body["author"].is_string();
    if (!valid) {
        m_frame.http().answer(
            request.id, problemResponse(STATUS_BAD_REQUEST, "Bad Request", "expected an object with base_version, author and document"));
        return;
    }
    const auto parsed = configuration::parse(body["document"]);
    if (!parsed) {
        m_frame.http().answer(
            request.id, problemResponse(STATUS_UNPROCESSABLE, "Unprocessable", parsed.error().location + ": " + parsed.error().reason));
        return;
    }
    const std::string recordId = m_node.publishConfiguration(
        body["base_version"].get<std::uint64_t>(), body["author"].get<std::string>(), body["document"].dump());
    m_changes[request.id] = {recordId, m_frame.time().steadyNow() + CHANGE_TIMEOUT};
}

void entry_service::getHistory(const http_request &request)
{
    nlohmann::json body = nlohmann::json::array();
    for (const published_configuration &version : m_node.stream().state().configurationHistory()) {
        body.push_back({{"version", version.version}, {"author", version.author}, {"at_ms", unixMilliseconds(version.writtenAt)}});
    }
    m_frame.http().answer(request.id, {200, "application/json", body.dump(), {}});
}

void entry_service::getMembers(const http_request &request)
{
    nlohmann::json body = nlohmann::json::array();
    const auto &reports = m_node.heartbeats().memberReports();
    for (const auto &[name, member] : m_node.stream().state().members()) {
        nlohmann::json entry = memberToJson(member);
        const auto report = reports.find(name);
        if (name == m_settings.process.name) {
            entry["offset"] = m_node.stream().state().offset();
            entry["heard_ms_ago"] = 0;
        } else if (report != reports.end()) {
            entry["offset"] = report->second.offset;
            entry["heard_ms_ago"] = (m_frame.time().steadyNow() - report->second.receivedAt).count() / 1000;
        }
        body.push_back(entry);
    }
    m_frame.http().answer(request.id, {200, "application/json", body.dump(), {}});
}

void entry_service::forgetMember(const http_request &request, const std::string &name)
{
    if (request.method != "DELETE") {
        methodNotAllowed(request, "DELETE");
        return;
    }
    const std::string recordId = m_node.publishMemberLoss(name);
    if (recordId.empty()) {
        m_frame.http().answer(request.id, problemResponse(STATUS_NOT_FOUND, "Not Found", "no process of the fleet is called " + name));
        return;
    }
    m_changes[request.id] = {recordId, m_frame.time().steadyNow() + CHANGE_TIMEOUT};
}

void entry_service::answerChanges()
{
    for (auto change = m_changes.begin(); change != m_changes.end();) {
        const auto [httpId, pending] = *change;
        const bool known = m_node.stream().state().effectOf(pending.recordId).has_value();
        if (!known && m_frame.time().steadyNow() < pending.deadline) {
            ++change;
            continue;
        }
        change = m_changes.erase(change);
        answerChange(httpId, pending.recordId);
    }
}

void entry_service::answerChange(std::uint64_t httpId, const std::string &recordId)
{
    const fleet_state &state = m_node.stream().state();
    const std::optional<record_effect> effect = state.effectOf(recordId);
    if (!effect) {
        http_response response = problemResponse(STATUS_GATEWAY_TIMEOUT,
                                                 "Not Read Back",
                                                 "the change was not read back from the log in time and may still come into force; "
                                                 "look at the history before publishing it again");
        response.headers["Retry-After"] = "5";
        m_frame.http().answer(httpId, response);
        return;
    }
    if (*effect == record_effect::applied) {
        m_frame.http().answer(httpId, {200, "application/json", nlohmann::json{{"version", state.offsetOf(recordId)}}.dump(), {}});
        return;
    }
    const nlohmann::json other = state.configurationHistory().empty() ? nlohmann::json() : versionJson(state.configurationHistory().back());
    nlohmann::json body = {{"type", "about:blank"}, {"status", STATUS_CONFLICT}, {"title", "Conflict"}, {"in_force", other}};
    body["detail"] = "another change came first; nothing of this one is in force. Compare it with the version in force and publish it anew";
    m_frame.http().answer(httpId, {STATUS_CONFLICT, "application/problem+json", body.dump(), {}});
}

void entry_service::methodNotAllowed(const http_request &request, const std::string &allowed)
{
    http_response response = problemResponse(STATUS_METHOD_NOT_ALLOWED, "Method Not Allowed", request.path + " answers " + allowed);
    response.headers["Allow"] = allowed;
    m_frame.http().answer(request.id, response);
}

void entry_service::tick()
{
    m_node.tick();
    updateTargets();
    answerChanges();
}

void entry_service::readLog()
{
    m_platform.read(m_node.log().nextOffset(), [this](const log_page &page) {
        if (m_node.applyLog(page)) {
            readLog();
        }
    });
}

void entry_service::updateTargets()
{
    const fleet_state &state = m_node.stream().state();
    if (state.offset() == m_targetsOffset) {
        return;
    }
    m_targetsOffset = state.offset();
    std::map<std::string, socket_address> targets;
    for (const std::string &name : state.memberNames(member_role::entry)) {
        const std::optional<socket_address> address = socket_address::parse(state.member(name)->address);
        // Of two entries, the one whose name comes first makes the connection.
        if (m_settings.process.name < name && address) {
            targets[name] = *address;
        }
    }
    if (state.offset() == 0) {
        for (const std::string &seed : m_settings.process.seeds) {
            targets["seed:" + seed] = socket_address::parse(seed).value();
        }
    }
    m_mesh.setTargets(targets);
}

}
