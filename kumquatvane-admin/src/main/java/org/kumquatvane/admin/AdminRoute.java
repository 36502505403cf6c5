package org.kumquatvane.admin;

/**
 * A path of the admin API that answers GET with a report.
 *
 * @param path absolute path with its version
 * @param report writes the answer
 */
public record AdminRoute(String path, AdminReport report) {}
