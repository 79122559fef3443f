#ifndef AZUREMOOR_AGENT_AGENT_SERVICE_H
#define AZUREMOOR_AGENT_AGENT_SERVICE_H

#include <string>

#include "agent/agent_settings.h"
#include "daemon/platform_log.h"
#include "daemon/process_frame.h"
#include "nodes/agent_node.h"
#include "transport/peer_mesh.h"

namespace azuremoor
{

/**
 * The process behind `azuremoor-agent`: wires an agent_node to its sockets, and carries tasks to the upstream over HTTP.
 */
class agent_service : private process_body, private peer_handler, private worker_outbox
{
public:
    explicit agent_service(const agent_settings &settings);

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

    // worker_outbox
    void send(const std::string &peer, message value) override;
    void callUpstream(const upstream_call &call) override;

    void announce(const http_request &request);
    void tick();
    void readLogIfAlone();
    void updateTargets();

    agent_settings m_settings;
    process_frame m_frame;
    peer_mesh m_mesh;
    http_client m_logClient;
    http_client m_upstreamClient;
    platform_log m_platform;
    agent_node m_node;
    prometheus::Histogram &m_runSeconds;
    std::uint64_t m_targetsOffset = UINT64_MAX;
};

}

#endif
