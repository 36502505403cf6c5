package org.kumquatvane.document;

import java.time.Duration;

/**
 * Capacity of one instance.
 *
 * @param slots number of requests that it processes concurrently
 * @param maximumConnections number of connections that it accepts from all VMs together
 * @param warmUp time after its discovery during which it receives a reduced share of requests
 */
public record InstanceCapacity(int slots, int maximumConnections, Duration warmUp) {}
