#include "jobs/table_transfer.h"

namespace azuremoor
{

namespace
{

/// Limits of one message. A message may exceed MAX_PART_BYTES by its last job or entry.
constexpr std::size_t MAX_PART_JOBS = 64;
constexpr std::size_t MAX_PART_BYTES = 1024 * 1024;
constexpr std::size_t MAX_PART_EVIDENCE = 2048;

/// Time after which a transfer without confirmation is cancelled.
constexpr milliseconds CONFIRMATION_TIMEOUT{1500};

/// Counts the identifier, the payloads and the answers, which make up most of a large job.
std::size_t approximateBytes(const transferred_job &job)
{
    std::size_t bytes = job.job.id.size();
    for (const task_request &task : job.job.tasks) {
        bytes += task.payload.size();
    }
    for (const transferred_task &task : job.tasks) {
        bytes += task.outcome.answer.size();
    }
    return bytes;
}

table_handover emptyPart(const shard_table &table, std::uint64_t transferId, std::uint32_t sequence)
{
    table_handover part;
    part.transferId = transferId;
    part.shard = table.shard;
    part.epoch = table.epoch;
    part.sequence = sequence;
    part.evidenceLostBeforeMilliseconds = table.evidenceLostBefore ? unixMilliseconds(*table.evidenceLostBefore) : 0;
    return part;
}

}

table_transfer::table_transfer(const time_source &time, peer_outbox &outbox)
    : m_time(time)
    , m_outbox(outbox)
{
}

void table_transfer::send(shard_table table, const std::string &target)
{
    const std::uint64_t transferId = m_nextTransferId++;
    m_outgoing[table.shard] = {target, table.epoch, transferId, false, m_time.steadyNow() + CONFIRMATION_TIMEOUT};
    table_handover part = emptyPart(table, transferId, 0);
    std::size_t bytes = 0;
    const auto flush = [this, &part, &bytes, &table, &target, transferId] {
        const std::uint32_t next = part.sequence + 1;
        m_outbox.send(target, std::move(part));
        part = emptyPart(table, transferId, next);
        bytes = 0;
    };
    for (transferred_job &job : table.jobs) {
        if (part.jobs.size() == MAX_PART_JOBS || bytes > MAX_PART_BYTES) {
            flush();
        }
        bytes += approximateBytes(job);
        part.jobs.push_back(std::move(job));
    }
    for (ledger_entry &entry : table.evidence) {
        if (part.evidence.size() == MAX_PART_EVIDENCE || bytes > MAX_PART_BYTES) {
            flush();
        }
        bytes += entry.outcome.answer.size();
        part.evidence.push_back(std::move(entry));
    }
    part.last = true;
    m_outbox.send(target, std::move(part));
}

void table_transfer::handle(const std::string &peer, const table_handover &part)
{
    incoming_table &incoming = m_incoming[part.shard];
    const bool newer = std::pair(part.epoch, part.transferId) > std::pair(incoming.table.epoch, incoming.transferId);
    if (part.sequence == 0 && newer) {
        incoming = {};
        incoming.sender = peer;
        incoming.transferId = part.transferId;
        incoming.table.shard = part.shard;
        incoming.table.epoch = part.epoch;
        if (part.evidenceLostBeforeMilliseconds != 0) {
            incoming.table.evidenceLostBefore = fromUnixMilliseconds(part.evidenceLostBeforeMilliseconds);
        }
    }
    const bool sameTable = incoming.sender == peer && incoming.table.epoch == part.epoch && incoming.transferId == part.transferId;
    if (!sameTable || incoming.nextPartIndex != part.sequence || incoming.complete) {
        return;
    }
    ++incoming.nextPartIndex;
    incoming.table.jobs.insert(incoming.table.jobs.end(), part.jobs.begin(), part.jobs.end());
    incoming.table.evidence.insert(incoming.table.evidence.end(), part.evidence.begin(), part.evidence.end());
    if (part.last) {
        incoming.complete = true;
        m_outbox.send(peer, handover_received{part.shard, part.epoch, part.transferId});
    }
}

std::optional<std::string> table_transfer::handle(const std::string &peer, const handover_received &confirmation)
{
    const auto found = m_outgoing.find(confirmation.shard);
    if (found == m_outgoing.end()) {
        return std::nullopt;
    }
    const outgoing_table &outgoing = found->second;
    const bool matches = outgoing.target == peer && outgoing.epoch == confirmation.epoch && outgoing.transferId == confirmation.transferId;
    if (!matches || outgoing.confirmed) {
        return std::nullopt;
    }
    found->second.confirmed = true;
    return peer;
}

std::uint64_t table_transfer::completeEpoch(std::uint32_t shard) const
{
    const auto found = m_incoming.find(shard);
    return found == m_incoming.end() || !found->second.complete ? 0 : found->second.table.epoch;
}

std::optional<shard_table> table_transfer::take(std::uint32_t shard, std::uint64_t epoch)
{
    const auto found = m_incoming.find(shard);
    if (found == m_incoming.end() || !found->second.complete || found->second.table.epoch != epoch) {
        return std::nullopt;
    }
    // Sender, epoch, transferId and nextPartIndex are kept, so that late parts of this table are recognised and ignored.
    shard_table table = std::move(found->second.table);
    found->second.table = {};
    found->second.table.shard = shard;
    found->second.table.epoch = epoch;
    found->second.complete = false;
    return table;
}

bool table_transfer::isOutgoing(std::uint32_t shard) const
{
    return m_outgoing.contains(shard);
}

std::vector<std::uint32_t> table_transfer::takeExpired()
{
    std::vector<std::uint32_t> expired;
    for (const auto &[shard, table] : m_outgoing) {
        // Once confirmed, the change of ownership may be in the log, and only the log tells whether it took place.
        if (!table.confirmed && m_time.steadyNow() >= table.confirmationDeadline) {
            expired.push_back(shard);
        }
    }
    for (std::uint32_t shard : expired) {
        m_outgoing.erase(shard);
    }
    return expired;
}

void table_transfer::forget(std::uint32_t shard)
{
    m_outgoing.erase(shard);
}

std::size_t table_transfer::outgoingCount() const
{
    return m_outgoing.size();
}

}
