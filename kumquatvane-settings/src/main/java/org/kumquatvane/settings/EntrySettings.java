package org.kumquatvane.settings;

import java.time.Duration;
import java.util.List;
import org.kumquatvane.core.FailureDomain;
import org.kumquatvane.core.SocketEndpoint;

/**
 * Settings of one entry VM on the users' platform.
 *
 * @param vmName name of the VM in logs
 * @param failureDomain its failure domain
 * @param callerEndpoint where callers connect
 * @param operatorEndpoint where the balancer asks for readiness and operators read metrics
 * @param peerEndpoint where other VMs connect; it also names this VM among them
 * @param peerListenEndpoint where this VM listens for other VMs, the peer endpoint unless an
 *     address translation lies between
 * @param seeds peer endpoints of some VMs
 * @param sourceEndpoint the configuration source
 * @param stopGrace time from a stop signal to the forced end of the process
 * @param retryBudget repeats that the fleet may make
 * @param limitSlack what is allowed beyond rate and burst of a workspace
 * @param fleetSecret secret with which VMs authenticate each other
 * @param workerThreads threads that decide about requests
 * @param assertions whether invariants are checked while running
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
