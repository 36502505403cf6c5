package org.kumquatvane.operations;

/**
 * Header field of a recorded response.
 *
 * @param name name as received
 * @param value value as received
 */
public record RecordedHeader(String name, String value) {}
