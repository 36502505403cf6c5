package org.kumquatvane.ejection;

/**
 * Identifies requests that a caller sends again: a digest over workspace, method, route and
 * idempotency key or body.
 *
 * @param value hexadecimal digest
 */
public record RequestFingerprint(String value) {}
