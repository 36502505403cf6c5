package org.kumquatvane.ejection;

/**
 * Identifies repeated sends of the same request by a digest of workspace, method, route and
 * idempotency key or body.
 *
 * @param value hexadecimal digest
 */
public record RequestFingerprint(String value) {}
