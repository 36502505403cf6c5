package org.kumquatvane.operations;

import org.kumquatvane.core.FailureDomain;
import org.kumquatvane.core.VmId;

/**
 * A member of a view that has ended.
 *
 * @param vm the VM
 * @param failureDomain its failure domain
 */
public record ViewMember(VmId vm, FailureDomain failureDomain) {}
