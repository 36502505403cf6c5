package org.kumquatvane.settings;

/**
 * Limits that bound the memory used by requests on one VM.
 *
 * @param maximumInFlight maximum number of requests admitted and not yet completed
 * @param bufferedBodyBytes largest body that is buffered, in bytes
 * @param maximumBufferedBytes total size of all buffered bodies, in bytes
 * @param maximumHeadBytes largest request or response head, in bytes
 */
public record RequestLimits(
    int maximumInFlight, int bufferedBodyBytes, long maximumBufferedBytes, int maximumHeadBytes) {}
