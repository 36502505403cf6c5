package org.kumquatvane.document;

/**
 * Policy that holds for all VMs.
 *
 * @param maximumVmCount most VM processes alive at once, including replaced ones that still run
 * @param limitMechanism how rate and burst are shared between VMs
 */
public record FleetPolicy(int maximumVmCount, LimitMechanism limitMechanism) {}
