#include "dispatch/entry_handover.h"

namespace azuremoor
{

entry_handover::entry_handover(handover_origin &origin, handover_receiver &receiver)
    : m_origin(origin)
    , m_receiver(receiver)
{
}

void entry_handover::connectEntry(const hello &entry)
{
    m_origin.connectEntry(entry.name);
    m_receiver.connectEntry(entry);
}

void entry_handover::disconnectEntry(const std::string &entry)
{
    m_origin.disconnectEntry(entry);
    m_receiver.disconnectEntry(entry);
}

void entry_handover::recordHeartbeat(const std::string &entry, const entry_heartbeat &heartbeat)
{
    m_origin.recordHeartbeat(entry, heartbeat);
}

void entry_handover::handleMessage(const std::string &entry, const message &value)
{
    if (const auto *job = std::get_if<job_handover>(&value)) {
        m_origin.recordShortage(entry);
        m_receiver.handleJob(entry, *job);
    } else if (const auto *answer = std::get_if<handover_answer>(&value)) {
        m_origin.handleAnswer(entry, *answer);
    } else if (const auto *released = std::get_if<handover_released>(&value)) {
        m_origin.handleReleased(entry, *released);
    } else if (const auto *cancel = std::get_if<handover_cancel>(&value)) {
        m_receiver.handleCancel(entry, *cancel);
    } else if (const auto *lease = std::get_if<handover_lease>(&value)) {
        if (lease->isAnswer) {
            m_origin.handleLeaseAnswer(entry, *lease);
        } else {
            m_receiver.handleLease(entry, *lease);
        }
    }
}

void entry_handover::sendLeases()
{
    m_origin.sendLeases();
}

void entry_handover::tick()
{
    m_origin.tick();
    m_receiver.tick();
}

}
