package org.kumquatvane.document;

/**
 * Policy for all VMs.
 *
 * @param maximumVmCount maximum number of VM processes that run at the same time, including
 *     replaced ones that have not stopped yet
 * @param limitMechanism mechanism that divides rate and burst between VMs
 */
public record FleetPolicy(int maximumVmCount, LimitMechanism limitMechanism) {}
