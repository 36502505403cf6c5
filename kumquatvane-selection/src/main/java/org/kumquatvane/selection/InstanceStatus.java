package org.kumquatvane.selection;

import org.kumquatvane.ejection.Eligibility;

/**
 * State of an instance for operators.
 *
 * @param instance the instance
 * @param slotsInUse slots that this VM uses
 * @param eligibility whether it may get requests
 * @param leaving whether it is leaving according to the VM list or its own responses
 */
public record InstanceStatus(
    Instance instance, int slotsInUse, Eligibility eligibility, boolean leaving) {}
