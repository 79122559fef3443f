#ifndef AZUREMOOR_BASE_PROTOCOL_RULES_H
#define AZUREMOOR_BASE_PROTOCOL_RULES_H

namespace azuremoor
{

/**
 * Safety rules of the protocol. Together they ensure that no task starts twice and that a task reported as `not_run` never ran.
 *
 * All rules are always enabled in production, and no setting can disable them. Tests disable one rule at a time to verify that their
 * checks detect the violation.
 */
struct protocol_rules {
    /// Agents do not start a task again that is already in their ledger.
    bool refuseKnownStarts = true;
    /// Agents refuse starts from an owner whose epoch is below the fencing epoch of the shard.
    bool refuseStaleEpochs = true;
    /// Agents and owners act only while their view of the control stream is fresh.
    bool requireFreshness = true;
    /// Agents record refused and revoked starts in their ledger, so that a copy that arrives later is refused as well.
    bool rememberRefusals = true;
    /// Owners close a submission at an agent before they report its tasks as not run.
    bool closeBeforeNotRun = true;
    /// Owners do not start a task that a previous owner may have started at an agent whose ledger cannot be queried.
    bool honourLostEvidence = true;
    /// Owners treat ledger entries as possibly missing for the whole time during which an isolated previous owner may have continued to
    /// start tasks.
    bool coverIsolation = true;
    /// After a takeover, owners take the ledger entries that agents report into account.
    bool collectLedgers = true;
};

}

#endif
