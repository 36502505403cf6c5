package org.kumquatvane.settings;

import java.time.Duration;

/**
 * Times of the fleet protocols; all VMs of a fleet need the same values.
 *
 * @param peerWait how long a starting VM looks for peers before it trusts the platform alone
 * @param heartbeatInterval time between heartbeats
 * @param promise how long a reply binds its sender to a view
 * @param floorLease how long a VM without a view keeps its floor
 * @param clockSkew largest lead of a caller's clock in an Idempotency-Key
 * @param operationRetention how long operation records are kept
 */
public record FleetTimings(
    Duration peerWait,
    Duration heartbeatInterval,
    Duration promise,
    Duration floorLease,
    Duration clockSkew,
    Duration operationRetention) {}
