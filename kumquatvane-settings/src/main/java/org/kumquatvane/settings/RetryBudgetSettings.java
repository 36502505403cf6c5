package org.kumquatvane.settings;

import java.time.Duration;

/**
 * Repeats that the fleet may make for each service.
 *
 * @param ratio repeats for each request of a window
 * @param fixed repeats in a window beyond that; a fraction where the figure was scaled
 * @param window length of the window
 */
public record RetryBudgetSettings(double ratio, double fixed, Duration window) {}
