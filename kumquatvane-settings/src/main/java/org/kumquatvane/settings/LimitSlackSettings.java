package org.kumquatvane.settings;

/**
 * What the users allow a workspace beyond its rate and burst over any window.
 *
 * @param overage allowed part beyond rate and burst
 * @param requests allowed requests in a window beyond that
 */
public record LimitSlackSettings(double overage, int requests) {}
