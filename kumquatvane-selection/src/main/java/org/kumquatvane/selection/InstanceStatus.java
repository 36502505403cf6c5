package org.kumquatvane.selection;

import org.kumquatvane.ejection.Eligibility;

/**
 * State of an instance for operators.
 *
 * @param instance the instance
 * @param slotsInUse slots that this VM uses
 * @param eligibility whether it may get requests
 * @param leaving whether any source says that it leaves
 */
public record InstanceStatus(
    Instance instance, int slotsInUse, Eligibility eligibility, boolean leaving) {}
