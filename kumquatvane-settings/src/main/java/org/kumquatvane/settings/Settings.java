package org.kumquatvane.settings;

import org.kumquatvane.core.FailureDomain;
import org.kumquatvane.core.SocketEndpoint;
import org.kumquatvane.core.VmId;

/**
 * Settings of one VM: what differs between VMs and environments, unlike the document.
 *
 * @param vmId id of the VM, the same as in the platform's VM list
 * @param failureDomain its failure domain
 * @param callerListener where callers connect
 * @param adminListener where operators connect
 * @param peerListener where other VMs connect
 * @param fleetSecret secret with which VMs authenticate each other
 * @param platform the platform's configuration service
 * @param workerPool size of the worker pool
 * @param requestLimits memory bounds of requests
 * @param drain times of a planned stop
 * @param fleetTimings times of the fleet protocols
 * @param assertions whether invariants are checked while running
 */
public record Settings(
    VmId vmId,
    FailureDomain failureDomain,
    CallerListener callerListener,
    AdminListener adminListener,
    SocketEndpoint peerListener,
    Secret fleetSecret,
    PlatformSettings platform,
    WorkerPoolSettings workerPool,
    RequestLimits requestLimits,
    DrainSettings drain,
    FleetTimings fleetTimings,
    boolean assertions) {}
