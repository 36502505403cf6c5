package org.kumquatvane.selection;

import org.kumquatvane.core.FailureDomain;
import org.kumquatvane.core.InstanceId;
import org.kumquatvane.core.ServiceName;
import org.kumquatvane.core.SocketEndpoint;

/**
 * One instance of a service.
 *
 * @param id its name
 * @param service its service
 * @param endpoint where it serves HTTP
 * @param failureDomain its failure domain
 * @param leaving whether the VM list says that it leaves
 */
public record Instance(
    InstanceId id,
    ServiceName service,
    SocketEndpoint endpoint,
    FailureDomain failureDomain,
    boolean leaving) {}
