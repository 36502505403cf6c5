package org.kumquatvane.settings;

/**
 * Tolerance that a workspace has beyond its rate and burst over any window.
 *
 * @param overage additional requests as a fraction of rate and burst
 * @param requests further requests per window; may be fractional because the value may be scaled
 */
public record LimitSlackSettings(double overage, double requests) {}
