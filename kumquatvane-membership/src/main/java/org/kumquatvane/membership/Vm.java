package org.kumquatvane.membership;

import org.kumquatvane.core.FailureDomain;
import org.kumquatvane.core.SocketEndpoint;
import org.kumquatvane.core.VmId;

/**
 * An entry VM in the platform's VM list.
 *
 * @param id name of the VM
 * @param peerAddress address on which it accepts connections of other VMs
 * @param failureDomain its failure domain
 * @param state its state
 */
public record Vm(VmId id, SocketEndpoint peerAddress, FailureDomain failureDomain, VmState state) {}
