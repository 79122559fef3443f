#include "dispatch/job_dispatcher.h"

#include <algorithm>
#include <utility>

#include "dispatch/answer_router.h"

namespace azuremoor
{

namespace
{

/// Interval at which the expected wait of a job that has not started is checked again. A caller whose job others have overtaken hears of it
/// within this time.
constexpr microseconds WAITING_CHECK_INTERVAL = milliseconds(100);

/// Added to a task's run number when its worker has already received that number or a higher one, because another entry, to which the job
/// was submitted earlier, assigned it.
constexpr std::uint32_t RUN_NUMBER_SKIP = 100;

/// Workers that may fall silent under a task before its job is given up: such a worker may have crashed, and no crash is reported.
constexpr std::uint32_t MAX_SILENT_WORKERS = 4;

/// Interval of the checks of waiting jobs while a data centre is evacuated. Their order may come back from there at any time.
constexpr microseconds EVACUATION_CHECK_INTERVAL = milliseconds(100);

/// Time from the reading of a request from which on its caller may have left unnoticed.
constexpr microseconds MIN_PRESENCE_AGE = milliseconds(1);

}

job_dispatcher::job_dispatcher(const time_source &time,
                               worker_pool &pool,
                               placement_policy &placement,
                               const admission_policy &admission,
                               const straggler_policy &stragglers,
                               local_load &localLoad,
                               answer_sink &answers,
                               decision_journal &journal,
                               priority_control *priorities,
                               const preemption_policy *preemption,
                               link_budget *link,
                               processor_budget *processor)
    : m_time(time)
    , m_pool(pool)
    , m_placement(placement)
    , m_localLoad(localLoad)
    , m_answers(answers)
    , m_journal(time, journal)
    , m_priorities(priorities)
    , m_exclusions(pool)
    , m_askedJobs(time)
    , m_mover(time, pool, placement, stragglers, journal)
    , m_processor(processor)
    , m_link(time, link, m_waitingJobs)
    , m_admission(time, pool, placement, admission, m_waitingJobs, processor, m_link, localLoad, journal, priorities)
{
    if (priorities != nullptr && preemption != nullptr) {
        m_preemption.emplace(time, pool, *preemption, *priorities, journal);
    }
}

void job_dispatcher::setReservationPlanner(reservation_planner *planner)
{
    m_planner = planner;
}

void job_dispatcher::submit(
    std::uint64_t request, job_spec spec, const route &jobRoute, steady_time arrival, steady_time deadline, caller_identity caller)
{
    if (m_processor != nullptr) {
        m_processor->recordRequest(arrival, m_time.steadyNow());
    }
    const auto known = m_jobNumbersById.find(spec.id);
    active_job *const active = known == m_jobNumbersById.end() ? nullptr : &m_jobs.at(known->second);
    if (active != nullptr && canJoin(*active, jobRoute)) {
        join(*active, request, jobRoute);
        return;
    }
    active_job job(m_nextJobNumber++, std::move(spec), jobRoute, arrival, deadline);
    job.readDelay = m_time.steadyNow() - arrival;
    job.nextAdmissionCheck = m_time.steadyNow() + WAITING_CHECK_INTERVAL;
    job.caller = std::move(caller);
    job.isRepeated = m_askedJobs.recordSubmission(job.spec.id);
    if (!job.isRepeated) {
        m_localLoad.recordAskedWork(job.waitingWork(), m_time.steadyNow());
    }
    if (active != nullptr) {
        const std::string reason = active->isEnding ? "runs of an earlier submission of the job are being stopped"
                                                    : "a job of this identifier is active in another queue or at another service";
        answerSingleRequest(request, job, m_admission.refusal(answer_kind::refused_unavailable, reason, NEWS_DELAY));
        return;
    }
    admit(std::move(job), request);
}

bool job_dispatcher::canJoin(const active_job &active, const route &jobRoute) const
{
    return !active.isEnding && active.matchedRoute.name == jobRoute.name && active.matchedRoute.service == jobRoute.service;
}

void job_dispatcher::join(active_job &active, std::uint64_t request, const route &jobRoute)
{
    active.requests.push_back(request);
    m_jobNumbersByRequest[request] = active.number;
    m_journal.noteJoined(active, request, jobRoute);
}

void job_dispatcher::setCallerPresence(const caller_presence &callers)
{
    m_callers = &callers;
}

bool job_dispatcher::haveCallersLeft(const active_job &job) const
{
    const steady_time submittedAt = job.arrival + job.readDelay;
    if (m_callers == nullptr || job.requests.empty() || m_time.steadyNow() - submittedAt < MIN_PRESENCE_AGE) {
        return false;
    }
    return std::ranges::all_of(job.requests,
                               [this](std::uint64_t request) { return !isHandoverRequest(request) && m_callers->hasLeft(request); });
}

void job_dispatcher::setForwarder(job_forwarder &forwarder)
{
    m_forwarder = &forwarder;
}

void job_dispatcher::submitHandedOver(
    std::uint64_t request, job_spec spec, const route &jobRoute, steady_time arrival, steady_time deadline, const std::string &origin)
{
    const steady_time now = m_time.steadyNow();
    active_job job(m_nextJobNumber++, std::move(spec), jobRoute, arrival, deadline);
    job.origin = origin;
    job.nextAdmissionCheck = now + WAITING_CHECK_INTERVAL;
    // The job's messages wait for this entry's processor as callers' requests do.
    job.readDelay = m_localLoad.processorDelay();
    if (m_jobNumbersById.contains(job.spec.id)) {
        answerSingleRequest(
            request, job, m_admission.refusal(answer_kind::refused_unavailable, "the job is active here already", NEWS_DELAY));
        return;
    }
    admit(std::move(job), request);
}

void job_dispatcher::setCrashGuard(crash_guard &guard)
{
    m_crashGuard = &guard;
    guard.setJobs(m_jobs);
    m_admission.setCrashGuard(guard);
    m_exclusions.setCrashGuard(guard);
}

std::optional<job_answer> job_dispatcher::checkCrashes(const active_job &job) const
{
    return m_crashGuard == nullptr ? std::nullopt : m_crashGuard->checkGivenUp(job);
}

void job_dispatcher::setRemovalListener(job_removal_listener &listener)
{
    m_removalListener = &listener;
}

void job_dispatcher::returnJob(std::uint64_t number, const job_answer &answer, const std::string &mayRunAt)
{
    const auto found = m_jobs.find(number);
    if (found == m_jobs.end() || !found->second.isHandedOver) {
        return;
    }
    active_job &job = found->second;
    job.isHandedOver = false;
    job.mayRunAt = mayRunAt;
    if (answer.kind != answer_kind::refused_full && answer.kind != answer_kind::refused_unavailable) {
        endJob(job, answer);
    } else if (!mayRunAt.empty()) {
        endJob(job, m_admission.refusal(answer_kind::refused_unavailable, "the job is active at another entry", NEWS_DELAY));
    } else if (const std::optional<job_answer> refusal = checkReturned(job)) {
        endJob(job, *refusal);
    } else {
        recordAdmission(job);
        job.isAwaitingWorkers = job.isAwaitingWorkers || m_admission.awaitsWorkers(job);
        enqueue(job);
    }
}

void job_dispatcher::releaseJob(std::uint64_t number)
{
    const auto found = m_jobs.find(number);
    if (found != m_jobs.end() && !std::exchange(found->second.mayRunAt, {}).empty()) {
        removeIfNoRunIsActive(found->second);
    }
}

bool job_dispatcher::mayRun(const std::string &id, const std::string &asker) const
{
    const auto found = m_jobNumbersById.find(id);
    if (found == m_jobNumbersById.end()) {
        return false;
    }
    const active_job &job = m_jobs.at(found->second);
    return !job.isEnding || job.runningTaskCount() > 0 || (!job.mayRunAt.empty() && job.mayRunAt != asker);
}

std::string job_dispatcher::jobId(std::uint64_t number) const
{
    const auto found = m_jobs.find(number);
    return found == m_jobs.end() ? std::string() : found->second.spec.id;
}

void job_dispatcher::abandonRequest(std::uint64_t request)
{
    const auto found = m_jobNumbersByRequest.find(request);
    if (found == m_jobNumbersByRequest.end()) {
        return;
    }
    active_job &job = m_jobs.at(found->second);
    m_jobNumbersByRequest.erase(found);
    std::erase(job.requests, request);
    ++m_counters.abandoned;
    if (isHandoverRequest(request)) {
        // A caller that submitted the job here has joined it. Its runs go on as those of an own job.
        job.origin.clear();
    }
    if (job.requests.empty() && !job.isEnding) {
        endJob(job, {answer_kind::cancelled, "the caller disconnected", {}});
    }
}

bool job_dispatcher::cancel(std::string_view queue, const std::string &id)
{
    const std::optional<std::uint64_t> number = findActive(queue, id);
    if (!number) {
        return false;
    }
    endJob(m_jobs.at(*number), {answer_kind::cancelled, "the caller cancelled the job", {}});
    return true;
}

bool job_dispatcher::isActive(std::string_view queue, const std::string &id) const
{
    return findActive(queue, id).has_value();
}

std::optional<std::uint64_t> job_dispatcher::findActive(std::string_view queue, const std::string &id) const
{
    const auto found = m_jobNumbersById.find(id);
    if (found == m_jobNumbersById.end()) {
        return std::nullopt;
    }
    const active_job &job = m_jobs.at(found->second);
    return job.isEnding || job.matchedRoute.name != queue ? std::nullopt : std::optional(found->second);
}

std::size_t job_dispatcher::pendingJobs(const std::string &queue) const
{
    return std::count_if(m_jobs.begin(), m_jobs.end(), [&queue](const auto &each) {
        return each.second.matchedRoute.name == queue && !each.second.isEnding && !each.second.isHandedOver
            && !each.second.mayHaveStarted();
    });
}

void job_dispatcher::handleRunEnd(const task_reference &reference, run_outcome outcome, const std::string &agent)
{
    recordOperation();
    const auto found = m_jobs.find(reference.job);
    if (found == m_jobs.end()) {
        return;
    }
    active_job &job = found->second;
    active_task &task = job.tasks[reference.task];
    job.statistics.lastAgent = agent;
    m_journal.noteRunEnd(job, reference.task, outcome, agent);
    // The task runs no more; finishTask() marks it as done after a success.
    task.state = task_state::waiting;
    if (job.isEnding) {
        removeIfNoRunIsActive(job);
    } else if (outcome == run_outcome::done) {
        handleSuccessfulRun(job, reference.task);
    } else {
        handleUnsuccessfulRun(job, task, outcome, agent);
    }
}

void job_dispatcher::handleSuccessfulRun(active_job &job, std::uint32_t task)
{
    if (job.finishTask(task)) {
        if (m_crashGuard != nullptr) {
            m_crashGuard->recordCompleted(job.spec.id);
        }
        endJob(job, {answer_kind::completed, {}, {}});
    } else if (job.hasWaitingTask()) {
        enqueue(job);
    }
}

void job_dispatcher::handleUnsuccessfulRun(active_job &job, active_task &task, run_outcome outcome, const std::string &agent)
{
    // A run that was stopped for a higher priority says nothing about its worker.
    const bool wasPreempted = std::exchange(task.isBeingPreempted, false) && outcome == run_outcome::stopped;
    if (outcome == run_outcome::failed || outcome == run_outcome::rejected) {
        ++m_counters.failedRuns;
        ++task.failedRuns;
        if (task.failedRuns >= job.matchedRoute.maxAttempts) {
            endJob(job, {answer_kind::failed, "a task failed " + std::to_string(task.failedRuns) + " times", {}});
            return;
        }
    } else if (outcome == run_outcome::stale_number) {
        task.runNumber += RUN_NUMBER_SKIP;
    } else if (const std::optional<job_answer> answer = checkCrashes(job)) {
        endJob(job, *answer);
        return;
    }
    if (outcome == run_outcome::worker_silent && ++task.silentWorkers >= MAX_SILENT_WORKERS) {
        endJob(job,
               {answer_kind::failed, std::to_string(task.silentWorkers) + " workers fell silent under a task, one after the other", {}});
        return;
    }
    if (hasBegun(outcome)) {
        ++m_counters.retries;
        ++job.statistics.unsuccessfulRuns;
        if (!wasPreempted) {
            task.avoidedAgent = agent;
        }
    } else {
        ++m_counters.refusedOrders;
        ++job.statistics.refusedOrders;
        if (m_priorities != nullptr) {
            m_priorities->recordNotBegun(job, job.spec.steps[task.step].taskWork());
        }
    }
    enqueue(job);
}

void job_dispatcher::placeWaitingTasks()
{
    const std::optional<task_shape> changedCapacity = m_pool.consumeChangedCapacity();
    if (!changedCapacity && !m_isPlacementNeeded) {
        m_pool.flush();
        return;
    }
    m_isPlacementNeeded = false;
    const bool isEachJobDue = std::exchange(m_isEachJobDue, false);
    m_waitingJobs.moveLateJobs(m_time.steadyNow());
    std::optional<task_shape> largestCapacity;
    m_largestUnplaced = {};
    m_unplacedMilliCores = 0;
    if (m_planner != nullptr) {
        m_planner->beginPass(m_pool.largestAvailableCapacity());
    }
    m_isYielding = true;
    placement_order order(m_waitingJobs.jobsByUrgency(), m_priorities == nullptr ? nullptr : m_priorities->activeShares());
    while (active_job *job = order.next(m_time.steadyNow())) {
        if (!m_link.canBegin(*job)) {
            // The next tick or message tries again, with the same job first.
            m_isPlacementNeeded = true;
            break;
        }
        const bool isTried = std::exchange(job->isPlacementTried, true);
        task_shape possibleCapacity = changedCapacity.value_or(task_shape{});
        if (isEachJobDue || !isTried) {
            largestCapacity = largestCapacity ? largestCapacity : m_pool.largestAvailableCapacity();
            possibleCapacity = *largestCapacity;
        }
        if (placeTasks(*job, possibleCapacity)) {
            m_waitingJobs.remove(job->number);
        } else if (std::exchange(m_isLinkFull, false)) {
            // The job is tried again, with those after it, when the link has time.
            job->isPlacementTried = false;
            m_isPlacementNeeded = true;
            break;
        } else if (!m_exclusions.isSetApart(*job)) {
            order.recordUnplaced();
            m_unplacedMilliCores += job->waitingMilliCores();
        }
    }
    placeDecliningJobs();
    if (m_planner != nullptr) {
        m_planner->endPass();
    }
    preemptRuns();
    m_pool.setDemand(m_waitingJobs.waitingDemand());
    m_pool.flush();
}

void job_dispatcher::tick()
{
    const steady_time now = m_time.steadyNow();
    std::vector<std::pair<std::uint64_t, job_answer>> ended;
    std::vector<std::uint64_t> toRecheck;
    for (const auto &[number, job] : m_jobs) {
        if (job.isEnding) {
            continue;
        }
        if (now >= job.deadline) {
            ended.emplace_back(number, job_answer{answer_kind::expired, "the deadline has passed", {}});
        } else if (job.isHandedOver || job.isAwaitingWorkers) {
            continue;
        } else if (const std::optional<job_answer> answer = checkCrashes(job)) {
            ended.emplace_back(number, *answer);
        } else if (!job.mayHaveStarted() && now > job.lastUsefulStart()) {
            ended.emplace_back(number, m_admission.refuseMissedStart(job));
        } else if (!job.mayHaveStarted() && now >= job.nextAdmissionCheck) {
            toRecheck.push_back(number);
        }
    }
    for (const std::uint64_t number : toRecheck) {
        active_job &job = m_jobs.at(number);
        job.nextAdmissionCheck = now + WAITING_CHECK_INTERVAL;
        const admission_decision decision = m_admission.checkWaiting(job);
        const bool isForwarded = decision.shortage != resource_shortage::none && forward(job, decision);
        if (!isForwarded && decision.refusal) {
            endJob(job, *decision.refusal);
        }
    }
    for (const auto &[number, answer] : ended) {
        endJob(m_jobs.at(number), answer);
    }
    refuseEvacuatedJobs();
    endWaitForWorkers();
    if (m_isStopping) {
        forwardUnstartedJobs();
    }
    m_counters.movedRuns += m_mover.moveRuns(m_jobs);
    m_localLoad.setLinkDelay(m_link.waitingDelay());
    // A quarantined worker may be due for a trial, and jobs may have become late, without any message.
    m_isEachJobDue = true;
    m_isPlacementNeeded = true;
}

void job_dispatcher::beginShutdown(steady_time end)
{
    m_admission.beginShutdown(end);
    m_isStopping = true;
}

void job_dispatcher::setWorkersExpectedUntil(steady_time end)
{
    m_workersExpectedUntil = end;
    m_admission.setWorkersExpectedUntil(end);
}

void job_dispatcher::endWaitForWorkers()
{
    if (!m_workersExpectedUntil || m_time.steadyNow() < *m_workersExpectedUntil) {
        return;
    }
    m_workersExpectedUntil.reset();
    std::vector<std::uint64_t> waiting;
    for (auto &[number, job] : m_jobs) {
        if (std::exchange(job.isAwaitingWorkers, false) && !job.isEnding && !job.isHandedOver && !job.mayHaveStarted()) {
            waiting.push_back(number);
        }
    }
    for (const std::uint64_t number : waiting) {
        active_job &job = m_jobs.at(number);
        const std::optional<job_answer> evacuated = m_admission.checkEvacuation(job);
        if (const std::optional<job_answer> answer = evacuated ? evacuated : m_admission.checkWorkers(job)) {
            endJob(job, *answer);
        }
    }
}

void job_dispatcher::expireAllJobs()
{
    std::vector<std::uint64_t> unanswered;
    for (const auto &[number, job] : m_jobs) {
        if (!job.isEnding) {
            unanswered.push_back(number);
        }
    }
    for (const std::uint64_t number : unanswered) {
        endJob(m_jobs.at(number), {answer_kind::expired, "the entry is shutting down", {}});
    }
    m_pool.flush();
}

void job_dispatcher::setEntryCount(std::size_t entryCount)
{
    m_admission.setEntryCount(entryCount);
}

entry_load job_dispatcher::currentLoad() const
{
    entry_load result = m_localLoad.report(m_time.steadyNow());
    result.waiting = m_waitingJobs.waitingWorkByPriority();
    return result;
}

std::size_t job_dispatcher::activeJobs() const
{
    return m_jobs.size();
}

const dispatch_counters &job_dispatcher::counters() const
{
    return m_counters;
}

const refusal_counters &job_dispatcher::refusals() const
{
    return m_admission.refusals();
}

std::optional<job_answer> job_dispatcher::checkReturned(active_job &job)
{
    if (!job.isAdmitted) {
        return m_admission.checkArrival(job, job.requests.front(), m_jobs.size()).refusal;
    }
    return m_isStopping ? std::nullopt : m_admission.checkWaiting(job).refusal;
}

void job_dispatcher::recordOperation()
{
    if (m_processor != nullptr) {
        m_processor->recordOperation();
    }
}

void job_dispatcher::recordAdmission(active_job &job)
{
    if (std::exchange(job.isAdmitted, true)) {
        return;
    }
    ++m_counters.admitted;
    if (m_processor != nullptr) {
        m_processor->recordAdmission(job.tasks.size());
    }
    if (m_priorities != nullptr) {
        m_priorities->recordAdmitted(job);
    }
}

void job_dispatcher::admit(active_job job, std::uint64_t request)
{
    // First, since a busy processor has no time for the other checks.
    const bool isProcessorShort = m_admission.isProcessorShort(job, m_jobs.size());
    if (isProcessorShort && forward(job, {std::nullopt, resource_shortage::processor})) {
        keep(std::move(job), request);
        return;
    }
    const admission_decision decision = m_admission.checkArrival(job, request, m_jobs.size());
    if (forward(job, decision)) {
        keep(std::move(job), request);
    } else if (decision.refusal) {
        answerSingleRequest(request, job, *decision.refusal);
    } else {
        recordAdmission(job);
        job.isAwaitingWorkers = m_admission.awaitsWorkers(job);
        enqueue(keep(std::move(job), request));
    }
}

active_job &job_dispatcher::keep(active_job job, std::uint64_t request)
{
    job.requests.push_back(request);
    m_jobNumbersByRequest[request] = job.number;
    m_jobNumbersById[job.spec.id] = job.number;
    const std::uint64_t number = job.number;
    return m_jobs.emplace(number, std::move(job)).first->second;
}

bool job_dispatcher::forward(active_job &job, const admission_decision &decision)
{
    // Where it can meet its objective, or else where it can be done for its caller if it can't be here.
    return forwardBy(job, decision.shortage, job.latestStart())
        || (decision.refusal && forwardBy(job, decision.shortage, job.lastUsefulStart()));
}

bool job_dispatcher::forwardBy(active_job &job, resource_shortage shortage, steady_time startBy)
{
    if (m_forwarder == nullptr || job.wasHandedOver || !m_forwarder->offer(job, shortage, startBy)) {
        return false;
    }
    m_waitingJobs.remove(job.number);
    job.isHandedOver = true;
    job.wasHandedOver = true;
    return true;
}

void job_dispatcher::forwardUnstartedJobs()
{
    for (auto &[number, job] : m_jobs) {
        if (!job.isEnding) {
            forwardBy(job, resource_shortage::stopping, job.lastUsefulStart());
        }
    }
}

void job_dispatcher::enqueue(active_job &job)
{
    m_waitingJobs.add(job, m_time.steadyNow());
    m_link.recordQueued(job);
    job.isPlacementTried = false;
    m_isPlacementNeeded = true;
}

void job_dispatcher::recordUnplaced(const active_job &job, std::uint32_t task)
{
    if (m_exclusions.isSetApart(job)) {
        return;
    }
    m_largestUnplaced = m_largestUnplaced.maximumWith(job.stepOf(task).shape);
    if (m_planner != nullptr) {
        m_planner->recordUnplaced(job, task);
    }
}

bool job_dispatcher::placeTasks(active_job &job, const task_shape &possibleCapacity)
{
    bool areAllPlaced = true;
    bool hasOrdered = false;
    const payload_sharing sharing(m_time, job);
    const bool isSharing = m_link.isShortOfCopies(job);
    double waitingMilliCores = m_unplacedMilliCores + job.waitingMilliCores();
    std::set<std::uint32_t> unplacedSteps;
    for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
        active_task &task = job.tasks[index];
        if (task.state != task_state::waiting || unplacedSteps.contains(task.step)) {
            continue;
        }
        const step_spec &step = job.stepOf(index);
        if (!step.shape.fitsInto(possibleCapacity)) {
            areAllPlaced = false;
            unplacedSteps.insert(task.step);
            recordUnplaced(job, index);
            continue;
        }
        const placement_request request{&step,
                                        job.matchedRoute.service,
                                        task.avoidedAgent,
                                        m_exclusions.agentsFor(job, task.step),
                                        job.number,
                                        job.spec.payload.size(),
                                        job.latencyObjective(),
                                        m_largestUnplaced,
                                        isSharing ? &sharing : nullptr,
                                        waitingMilliCores,
                                        m_isYielding};
        pooled_worker *worker = m_placement.chooseWorker(m_pool, request);
        job.isDeclining = worker == nullptr && m_placement.hasDeclined();
        m_areJobsDeclining = m_areJobsDeclining || job.isDeclining;
        if (worker == nullptr) {
            areAllPlaced = false;
            recordUnplaced(job, index);
            if (task.avoidedAgent.empty()) {
                // Other tasks of the step that avoid no agent would not find a worker either.
                unplacedSteps.insert(task.step);
            }
            continue;
        }
        if (job.statistics.orders == 0 && haveCallersLeft(job)) {
            return false;
        }
        run_order order{0, job.taskName(index), task.runNumber + 1, job.spec.payload, step.shape, 0, job.origin, job.matchedRoute.name};
        order.isWorkerAskedFirst = m_crashGuard != nullptr && m_crashGuard->mustAskWorkers(job);
        if (!m_link.takeOrder(m_pool.collectedOrders(worker->agent), order, !hasOrdered)) {
            m_isLinkFull = true;
            return false;
        }
        hasOrdered = true;
        waitingMilliCores -= step.shape.milliCores;
        ++task.runNumber;
        ++m_counters.orders;
        m_counters.payloadSharingOrders += isSharing ? 1 : 0;
        recordOperation();
        job.statistics.lastOrderAt = m_time.steadyNow();
        if (job.statistics.orders++ == 0) {
            job.statistics.firstOrderAt = job.statistics.lastOrderAt;
        }
        m_localLoad.recordOrderedWork(step.taskWork(), m_time.steadyNow());
        if (m_priorities != nullptr) {
            m_priorities->recordOrdered(job, step.taskWork());
        }
        task.state = task_state::running;
        m_journal.noteOrder(job, index, *worker, isSharing);
        if (m_planner != nullptr) {
            m_planner->recordOrder(job, index, worker->agent);
        }
        m_pool.orderRun(*worker, {job.number, index}, std::move(order), step.estimate);
    }
    return areAllPlaced;
}

void job_dispatcher::placeDecliningJobs()
{
    m_isYielding = false;
    if (!std::exchange(m_areJobsDeclining, false)) {
        return;
    }
    m_unplacedMilliCores = 0;
    for (active_job *job : m_waitingJobs.jobsByUrgency()) {
        const bool isTried = job->isDeclining && m_link.canBegin(*job);
        if (isTried && placeTasks(*job, m_pool.largestAvailableCapacity())) {
            m_waitingJobs.remove(job->number);
        } else {
            m_unplacedMilliCores += job->waitingMilliCores();
            m_areJobsDeclining = m_areJobsDeclining || job->isDeclining;
        }
    }
    m_isPlacementNeeded = std::exchange(m_isLinkFull, false) || m_isPlacementNeeded;
}

void job_dispatcher::refuseEvacuatedJobs()
{
    const steady_time now = m_time.steadyNow();
    if (!m_pool.isAnyEvacuated() || now < m_nextEvacuationCheck) {
        return;
    }
    m_nextEvacuationCheck = now + EVACUATION_CHECK_INTERVAL;
    std::vector<std::pair<std::uint64_t, job_answer>> refused;
    for (const auto &[number, job] : m_jobs) {
        const bool isUnstarted = !job.isEnding && !job.isHandedOver && !job.isAwaitingWorkers && !job.mayHaveStarted();
        if (const std::optional<job_answer> answer = isUnstarted ? m_admission.checkEvacuation(job) : std::nullopt) {
            refused.emplace_back(number, *answer);
        }
    }
    for (const auto &[number, answer] : refused) {
        endJob(m_jobs.at(number), answer);
    }
}

void job_dispatcher::preemptRuns()
{
    if (m_preemption && m_preemption->isDue(m_waitingJobs.mostUrgent())) {
        m_preemption->preempt(
            m_waitingJobs.jobsByUrgency(), m_jobs, [this](const active_job &job) { return m_admission.expectedWait(job); });
    }
}

void job_dispatcher::endJob(active_job &job, const job_answer &answer)
{
    job.isEnding = true;
    m_waitingJobs.remove(job.number);
    m_link.forget(job.number);
    if (m_planner != nullptr) {
        m_planner->endJob(job.number);
    }
    if (std::exchange(job.isHandedOver, false)) {
        job.mayRunAt = m_forwarder->withdraw(job.number);
    }
    for (const std::uint64_t request : job.requests) {
        m_jobNumbersByRequest.erase(request);
        answerSingleRequest(request, job, answer);
    }
    if (job.requests.empty()) {
        m_journal.noteDropped(job, answer);
    }
    job.requests.clear();
    if (job.runningTaskCount() > 0) {
        m_pool.stopRuns(job.number);
    }
    removeIfNoRunIsActive(job);
}

void job_dispatcher::removeIfNoRunIsActive(active_job &job)
{
    if (job.runningTaskCount() > 0) {
        return;
    }
    if (!job.mayRunAt.empty()) {
        if (m_removalListener != nullptr) {
            m_removalListener->handleJobHeld(job.spec.id, job.mayRunAt);
        }
        return;
    }
    const std::string id = std::move(job.spec.id);
    m_jobNumbersById.erase(id);
    m_jobs.erase(job.number);
    if (m_removalListener != nullptr) {
        m_removalListener->handleJobRemoved(id);
    }
}

void job_dispatcher::answerSingleRequest(std::uint64_t request, const active_job &job, const job_answer &answer)
{
    recordOperation();
    ++m_counters.answers[static_cast<std::size_t>(answer.kind)];
    if (m_priorities != nullptr && (answer.kind == answer_kind::refused_full || answer.kind == answer_kind::refused_unavailable)) {
        m_priorities->recordRefused(job);
    }
    m_journal.noteAnswer(job, request, answer);
    m_answers.answerRequest(request, answer);
}

}
