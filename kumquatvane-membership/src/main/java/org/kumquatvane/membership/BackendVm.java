package org.kumquatvane.membership;

import org.kumquatvane.core.FailureDomain;
import org.kumquatvane.core.InstanceId;
import org.kumquatvane.core.ServiceName;
import org.kumquatvane.core.SocketEndpoint;

/**
 * A backend VM in the platform's VM list; it is one instance of a service.
 *
 * @param id name of the instance
 * @param service the service
 * @param address its HTTP address
 * @param failureDomain its failure domain
 * @param state its state
 */
public record BackendVm(
    InstanceId id,
    ServiceName service,
    SocketEndpoint address,
    FailureDomain failureDomain,
    VmState state) {}
