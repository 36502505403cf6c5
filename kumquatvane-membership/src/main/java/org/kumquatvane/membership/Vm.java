package org.kumquatvane.membership;

import org.kumquatvane.core.FailureDomain;
import org.kumquatvane.core.SocketEndpoint;
import org.kumquatvane.core.VmId;

/**
 * An entry VM of the platform's list.
 *
 * @param id name of the VM
 * @param peerAddress where it listens for other VMs
 * @param failureDomain its failure domain
 * @param state its state
 */
public record Vm(VmId id, SocketEndpoint peerAddress, FailureDomain failureDomain, VmState state) {}
