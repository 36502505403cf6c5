package org.kumquatvane.settings;

import java.time.Duration;
import java.util.List;
import org.kumquatvane.core.FailureDomain;
import org.kumquatvane.core.SocketEndpoint;

/**
 * Settings of one entry VM on the users' platform.
 *
 * @param vmName name of the VM, used in logs
 * @param failureDomain failure domain of the VM
 * @param callerEndpoint endpoint for callers
 * @param operatorEndpoint endpoint for the load balancer's readiness checks and for metrics
 * @param peerEndpoint endpoint to which other VMs connect; it also identifies this VM among them
 * @param peerListenEndpoint endpoint on which this VM listens for other VMs; differs from the peer
 *     endpoint behind network address translation
 * @param seeds peer endpoints of VMs to contact first
 * @param sourceEndpoint endpoint of the configuration source
 * @param stopGrace time from the termination signal to the forced termination of the process
 * @param retryBudget bounds of the fleet's retries
 * @param limitSlack tolerance beyond the rate and burst of a workspace
 * @param fleetSecret shared secret with which VMs authenticate each other
 * @param workerThreads number of threads that process requests
 * @param assertions whether invariants are checked at run time
 */
public record EntrySettings(
    String vmName,
    FailureDomain failureDomain,
    SocketEndpoint callerEndpoint,
    SocketEndpoint operatorEndpoint,
    SocketEndpoint peerEndpoint,
    SocketEndpoint peerListenEndpoint,
    List<SocketEndpoint> seeds,
    SocketEndpoint sourceEndpoint,
    Duration stopGrace,
    RetryBudgetSettings retryBudget,
    LimitSlackSettings limitSlack,
    String fleetSecret,
    int workerThreads,
    boolean assertions) {
  /** Copies the list. */
  public EntrySettings {
    seeds = List.copyOf(seeds);
  }
}
