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
 * @param workers size of the worker pool
 * @param requests memory bounds of requests
 * @param stop times of a planned stop
 * @param fleet times of the fleet protocols
 * @param assertions whether invariants are checked while running
 */
public record Settings(
    VmId vmId,
    FailureDomain failureDomain,
    CallerListener callerListener,
    AdminListener adminListener,
    SocketEndpoint peerListener,
    Secret fleetSecret,
    PlatformSource platform,
    WorkerBounds workers,
    RequestBounds requests,
    StopTimes stop,
    FleetTimes fleet,
    boolean assertions) {}
