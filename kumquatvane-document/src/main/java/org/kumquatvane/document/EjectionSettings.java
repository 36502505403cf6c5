package org.kumquatvane.document;

import java.time.Duration;

/**
 * Ejection policy of a service.
 *
 * @param profile trade-off between detection time and false ejections
 * @param healthyFloorPercent minimum share of the service's capacity that is never ejected, in
 *     percent, 0 to 100
 * @param baseEjection duration of the first ejection; doubles with each further ejection
 * @param maximumEjection longest duration of an ejection
 */
public record EjectionSettings(
    EjectionProfile profile,
    int healthyFloorPercent,
    Duration baseEjection,
    Duration maximumEjection) {}
