#include "entry/job_api.h"

#include <nlohmann/json.hpp>

#include "base/submission_id.h"
#include "entry/http_responses.h"
#include "entry/job_json.h"
#include "transport/http_status.h"

namespace azuremoor
{

job_api::job_api(entry_node &node, http_server &http)
    : m_node(node)
    , m_http(http)
{
}

bool job_api::handle(const http_request &request)
{
    const std::string jobs = "/v1/jobs/";
    const std::string explain = "/v1/explain/";
    if (request.path == "/v1/jobs") {
        submitJob(request);
    } else if (request.path.starts_with(jobs) && request.path.size() > jobs.size()) {
        queryJob(request, request.path.substr(jobs.size()));
    } else if (request.path.starts_with(explain) && request.path.size() > explain.size()) {
        explainJob(request, request.path.substr(explain.size()));
    } else {
        return false;
    }
    return true;
}

void job_api::abandon(std::uint64_t httpId)
{
    const auto found = m_requestByHttp.find(httpId);
    if (found == m_requestByHttp.end()) {
        return;
    }
    m_node.gateway().abandon(found->second);
    m_httpByRequest.erase(found->second);
    m_requestByHttp.erase(found);
}

void job_api::answer(std::uint64_t requestId, const job_reply &reply)
{
    const auto found = m_httpByRequest.find(requestId);
    if (found == m_httpByRequest.end()) {
        return;
    }
    const std::uint64_t httpId = found->second;
    m_httpByRequest.erase(found);
    m_requestByHttp.erase(httpId);
    m_http.answer(httpId, jobResponse(reply));
}

std::size_t job_api::waitingCallers() const
{
    return m_httpByRequest.size();
}

void job_api::submitJob(const http_request &request)
{
    if (request.method != "POST") {
        m_http.answer(request.id, methodNotAllowedResponse(request, "POST"));
        return;
    }
    const auto job = parseJob(request.body);
    if (!job) {
        m_http.answer(request.id, problemResponse(job.error().status, "Bad Request", job.error().detail));
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
    m_http.answer(request.id, {STATUS_ACCEPTED, "application/json", body.dump(), {{"Location", "/v1/jobs/" + job->id}}});
}

void job_api::refuseForNow(const http_request &request)
{
    const std::string reason = m_node.isLeaving() ? "this entry is stopping" : "too many requests wait at this entry";
    http_response problem = problemResponse(STATUS_UNAVAILABLE, "Unavailable", reason + "; nothing was started for this request");
    problem.headers["Retry-After"] = "1";
    // The next try is to reach another entry.
    problem.headers["Connection"] = "close";
    m_http.answer(request.id, problem);
}

void job_api::queryJob(const http_request &request, const std::string &jobId)
{
    const bool cancel = request.method == "DELETE";
    if (!cancel && request.method != "GET") {
        m_http.answer(request.id, methodNotAllowedResponse(request, "GET, DELETE"));
        return;
    }
    if (!isValidSubmissionId(jobId)) {
        m_http.answer(request.id, problemResponse(STATUS_BAD_REQUEST, "Bad Request", "not an identifier of a job: " + jobId));
        return;
    }
    const std::uint64_t requestId = m_node.gateway().query(jobId, cancel);
    m_httpByRequest[requestId] = request.id;
    m_requestByHttp[request.id] = requestId;
}

void job_api::explainJob(const http_request &request, const std::string &jobId)
{
    const shard_ownership &ownership = m_node.stream().state().ownership(shardOf(jobId));
    nlohmann::json body = {{"id", jobId}, {"shard", shardOf(jobId)}, {"owner", ownership.owner}, {"epoch", ownership.epoch}};
    const owned_job *job = m_node.jobs().find(jobId);
    if (job != nullptr) {
        body["tasks"] = m_node.jobs().explain(*job);
    }
    m_http.answer(request.id, {200, "application/json", body.dump(2), {}});
}

}
