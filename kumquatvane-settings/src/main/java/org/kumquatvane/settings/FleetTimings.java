package org.kumquatvane.settings;

import java.time.Duration;

/**
 * Timing of the protocols between VMs; all VMs of a fleet need the same values.
 *
 * @param peerWait how long a starting VM searches for peers before it relies on the platform alone
 * @param heartbeatInterval time between heartbeats
 * @param promise how long a heartbeat reply commits its sender to a view
 * @param floorLease how long a VM without a view keeps its floor share of the rate limits
 * @param clockSkew how far the time in an Idempotency-Key may be ahead of this VM's clock
 * @param operationRetention retention time of operation records
 */
public record FleetTimings(
    Duration peerWait,
    Duration heartbeatInterval,
    Duration promise,
    Duration floorLease,
    Duration clockSkew,
    Duration operationRetention) {}
