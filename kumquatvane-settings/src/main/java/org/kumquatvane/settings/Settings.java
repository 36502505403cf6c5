package org.kumquatvane.settings;

import org.kumquatvane.core.FailureDomain;
import org.kumquatvane.core.SocketEndpoint;
import org.kumquatvane.core.VmId;

/**
 * Settings of one VM. They differ between VMs and environments, while the configuration document is
 * the same on all VMs.
 *
 * @param vmId id of the VM, the same as in the platform's VM list
 * @param failureDomain failure domain of the VM
 * @param callerListener listener for callers
 * @param adminListener listener for operators
 * @param peerListener endpoint on which this VM listens for other VMs
 * @param fleetSecret shared secret with which VMs authenticate each other
 * @param platform the platform's configuration service
 * @param workerPool size of the worker pool
 * @param requestLimits limits of requests
 * @param drain times of a graceful shutdown
 * @param fleetTimings times of the fleet protocols
 * @param assertions whether invariants are checked at run time
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
