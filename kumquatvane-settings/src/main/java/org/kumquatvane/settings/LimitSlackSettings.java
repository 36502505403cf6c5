package org.kumquatvane.settings;

/**
 * What the users allow a workspace beyond its rate and burst over any window.
 *
 * @param overage allowed part beyond rate and burst
 * @param requests allowed requests in a window beyond that; a fraction where the figure was scaled
 */
public record LimitSlackSettings(double overage, double requests) {}
