package org.kumquatvane.admin;

/**
 * Path of the admin API that serves a report for GET requests.
 *
 * @param path absolute path, including the API version
 * @param report writes the response body
 */
public record AdminRoute(String path, AdminReport report) {}
