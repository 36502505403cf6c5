package org.kumquatvane.document;

import java.time.Duration;

/**
 * When instances of a service are ejected.
 *
 * @param profile how evidence is weighed
 * @param healthyFloorPercent share of the service's capacity that ejection always leaves, 0 to 100
 * @param baseEjection length of a first ejection; doubles with each repeat
 * @param maximumEjection longest ejection
 */
public record EjectionSettings(
    EjectionProfile profile,
    int healthyFloorPercent,
    Duration baseEjection,
    Duration maximumEjection) {}
