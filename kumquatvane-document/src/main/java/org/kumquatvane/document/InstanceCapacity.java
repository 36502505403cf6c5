package org.kumquatvane.document;

import java.time.Duration;

/**
 * What one instance can take.
 *
 * @param slots requests that it works on at once
 * @param maximumConnections connections that it accepts from the whole fleet
 * @param warmUp time after its first appearance during which it gets a reduced share of requests
 */
public record InstanceCapacity(int slots, int maximumConnections, Duration warmUp) {}
