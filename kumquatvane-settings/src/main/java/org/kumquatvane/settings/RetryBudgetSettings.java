package org.kumquatvane.settings;

import java.time.Duration;

/**
 * Bounds of the fleet's retries for each service.
 *
 * @param ratio retries per request of a window
 * @param fixed further retries per window; may be fractional because the value may be scaled
 * @param window length of the window
 */
public record RetryBudgetSettings(double ratio, double fixed, Duration window) {}
