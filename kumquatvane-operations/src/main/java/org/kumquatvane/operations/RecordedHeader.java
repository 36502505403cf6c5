package org.kumquatvane.operations;

/**
 * One header field of a recorded answer.
 *
 * @param name name as received
 * @param value value as received
 */
public record RecordedHeader(String name, String value) {}
