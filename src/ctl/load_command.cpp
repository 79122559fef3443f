#include "ctl/load_command.h"

#include <algorithm>
#include <iostream>

#include "base/submission_id.h"
#include "transport/http_status.h"

namespace azuremoor
{

namespace
{

using nlohmann::json;

constexpr seconds ANSWER_GRACE{10};
constexpr milliseconds RETRY_INTERVAL{200};
constexpr std::int64_t MAX_ATTEMPTS = 200;

double toMilliseconds(microseconds value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

double quantile(std::vector<double> &values, double share)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1, static_cast<std::size_t>(share * static_cast<double>(values.size())))];
}

}

load_command::load_command(ctl_client &client, load_settings settings, bool printJson)
    : m_client(client)
    , m_settings(std::move(settings))
    , m_json(printJson)
    , m_random(static_cast<std::uint64_t>(m_settings.seed))
{
}

exit_status load_command::run()
{
    const steady_time began = m_time.steadyNow();
    fill();
    m_client.loop().run();
    json result = summary();
    result["took_ms"] = toMilliseconds(m_time.steadyNow() - began);
    if (m_json) {
        std::cout << result.dump() << std::endl;
    } else {
        for (const auto &[key, value] : result.items()) {
            std::cout << key << " " << value << std::endl;
        }
    }
    return m_complete == m_settings.jobs && m_wrong == 0 && m_differing == 0 ? exit_status::success : exit_status::failed;
}

void load_command::fill()
{
    while (m_underWay < m_settings.parallel && m_started < m_settings.jobs) {
        start();
    }
    if (m_ended == m_settings.jobs) {
        m_client.loop().stop();
    }
}

void load_command::start()
{
    auto job = std::make_shared<job_state>();
    job->id = makeSubmissionId(m_time.unixNow(), m_random);
    job->began = m_time.steadyNow();
    job->copiesLeft = m_settings.resubmissions;
    std::uniform_int_distribution<std::int64_t> runTime(m_settings.shortestMs, std::max(m_settings.shortestMs, m_settings.longestMs));
    job->tasks = json::array();
    for (std::int64_t index = 0; index < m_settings.tasks; ++index) {
        const std::int64_t runMs = runTime(m_random);
        job->longestMs = std::max(job->longestMs, runMs);
        job->tasks.push_back({{"name", "task-" + std::to_string(index)}, {"payload", json{{"run_ms", runMs}, {"job", job->id}}.dump()}});
    }
    json body = {{"id", job->id}, {"team", m_settings.team}, {"tasks", job->tasks}};
    body["deadline"] = unixMilliseconds(m_time.unixNow() + seconds(m_settings.deadlineS));
    if (!m_settings.selectors.empty()) {
        body["selector"] = m_settings.selectors[static_cast<std::size_t>(m_started) % m_settings.selectors.size()];
    }
    job->body = body.dump();
    ++m_started;
    ++m_underWay;
    send(job);
}

void load_command::send(const std::shared_ptr<job_state> &job)
{
    const std::vector<http_url> &entries = m_client.entries();
    const http_url &entry = entries[m_nextEntry++ % entries.size()];
    ++job->attempts;
    const seconds timeout = seconds(m_settings.deadlineS) + ANSWER_GRACE;
    m_client.http().send({"POST", entry.address, "/v1/jobs", {{"Content-Type", "application/json"}}, job->body, timeout},
                         [this, job](const result_or_failure<incoming_response> &response) { finish(job, response); });
}

void load_command::finish(const std::shared_ptr<job_state> &job, const result_or_failure<incoming_response> &response)
{
    const bool answered = response && response->status == STATUS_OK;
    if (!answered && job->attempts < MAX_ATTEMPTS
        && toMilliseconds(m_time.steadyNow() - job->began) < 1000.0 * static_cast<double>(m_settings.deadlineS)) {
        // A lost connection or an entry that is busy: the same submission is sent again, through another entry.
        ++m_retried;
        m_client.loop().after(RETRY_INTERVAL, [this, job] { send(job); });
        return;
    }
    if (answered && !job->answer.empty() && job->answer != response->body) {
        ++m_differing;
    }
    if (answered && job->copiesLeft > 0) {
        --job->copiesLeft;
        job->answer = response->body;
        send(job);
        return;
    }
    m_tookMs.push_back(toMilliseconds(m_time.steadyNow() - job->began));
    m_lagMs.push_back(m_tookMs.back() - static_cast<double>(job->longestMs));
    ++m_ended;
    --m_underWay;
    if (!answered) {
        ++m_refused;
        std::cerr << "azuremoorctl: " << job->id << ": " << (response ? response->body : response.error().reason) << std::endl;
    } else {
        const json answer = json::parse(response->body, nullptr, false);
        const bool complete = answer.value("state", "") == "complete";
        m_complete += complete ? 1 : 0;
        m_failed += complete ? 0 : 1;
        m_wrong += complete && !isWhole(*job, answer) ? 1 : 0;
    }
    fill();
}

bool load_command::isWhole(const job_state &job, const json &answer) const
{
    const json &tasks = answer.at("tasks");
    if (answer.value("id", "") != job.id || tasks.size() != job.tasks.size()) {
        return false;
    }
    for (std::size_t index = 0; index < tasks.size(); ++index) {
        const std::string name = job.tasks[index].at("name").get<std::string>();
        const std::string expected = name + ":" + job.tasks[index].at("payload").get<std::string>();
        if (tasks[index].value("name", "") != name || tasks[index].value("answer", "") != expected) {
            return false;
        }
    }
    return true;
}

json load_command::summary()
{
    return {{"jobs", m_settings.jobs},
            {"complete", m_complete},
            {"failed", m_failed},
            {"unanswered", m_refused},
            {"wrong_answers", m_wrong},
            {"differing_answers", m_differing},
            {"sent_again", m_retried},
            {"answers", m_complete * m_settings.tasks},
            {"job_ms_p50", quantile(m_tookMs, 0.5)},
            {"job_ms_p99", quantile(m_tookMs, 0.99)},
            {"lag_ms_p50", quantile(m_lagMs, 0.5)},
            {"lag_ms_p99", quantile(m_lagMs, 0.99)}};
}

}
