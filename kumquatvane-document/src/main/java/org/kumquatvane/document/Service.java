package org.kumquatvane.document;

import org.kumquatvane.core.ServiceName;

/**
 * A service and the policies that apply to its instances.
 *
 * @param name unique name, the same as in the platform's VM list
 * @param capacity slots and connections of its instances
 * @param queue limits of the admission queue
 * @param selection load-balancing policy
 * @param ejection ejection policy
 * @param retry retry policy
 */
public record Service(
    ServiceName name,
    InstanceCapacity capacity,
    QueuePolicy queue,
    SelectionMode selection,
    EjectionSettings ejection,
    RetrySettings retry) {}
