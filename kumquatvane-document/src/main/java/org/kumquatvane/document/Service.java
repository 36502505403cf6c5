package org.kumquatvane.document;

import org.kumquatvane.core.ServiceName;

/**
 * A service and the policies that apply to its instances.
 *
 * @param name unique name, the same as in the platform's VM list
 * @param capacity slots and connections of its instances
 * @param queue limits of the admission queue
 * @param selection how an instance is chosen
 * @param ejection when an instance is taken out
 * @param retry when an attempt is repeated
 */
public record Service(
    ServiceName name,
    InstanceCapacity capacity,
    QueuePolicy queue,
    SelectionMode selection,
    EjectionSettings ejection,
    RetrySettings retry) {}
