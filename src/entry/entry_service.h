#ifndef AZUREMOOR_ENTRY_ENTRY_SERVICE_H
#define AZUREMOOR_ENTRY_ENTRY_SERVICE_H

#include <cstdint>
#include <string>
#include <vector>

#include "daemon/platform_log.h"
#include "daemon/process_frame.h"
#include "entry/entry_settings.h"
#include "entry/job_api.h"
#include "entry/job_metrics.h"
#include "entry/operator_api.h"
#include "nodes/entry_node.h"
#include "transport/peer_mesh.h"

namespace azuremoor
{

/**
 * The process behind `azuremoor-entry`: wires an entry_node to its sockets.
 *
 * It speaks HTTP with callers and operators, messages with other processes, and the log's protocol with the platform. It decides
 * nothing itself.
 */
class entry_service : private process_body, private peer_handler, private caller_outbox
{
public:
    explicit entry_service(const entry_settings &settings);

    /// Runs the process until it has stopped. Returns its exit status.
    int run();

private:
    // process_body
    nlohmann::json describeState() override;
    std::vector<metric_sample> samples() override;
    std::string unhealthyReason() override;
    bool handleOwnRequest(const http_request &request) override;
    void abandonOwnRequest(std::uint64_t id) override;
    void beginStop() override;
    bool hasStopped() override;
    nlohmann::json describeUnfinished() override;

    // peer_handler
    void connectPeer(const hello &peer) override;
    void disconnectPeer(const std::string &peer) override;
    void handleMessage(const std::string &peer, const message &value) override;
    void flush() override;

    // caller_outbox
    void answer(std::uint64_t requestId, const job_reply &reply) override;

    void tick();
    void readLog();
    void updateTargets();

    entry_settings m_settings;
    process_frame m_frame;
    peer_mesh m_mesh;
    http_client m_client;
    platform_log m_platform;
    job_metrics m_jobMetrics;
    entry_node m_node;
    job_api m_jobApi;
    operator_api m_operatorApi;
    std::uint64_t m_targetsOffset = UINT64_MAX;
};

}

#endif
