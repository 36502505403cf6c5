package org.kumquatvane.settings;

/**
 * Memory bounds of requests on one VM.
 *
 * @param maximumInFlight requests admitted and not yet answered
 * @param bufferedBodyBytes largest body that is buffered
 * @param maximumBufferedBytes size of all buffered bodies together
 * @param maximumHeadBytes largest request or response head
 */
public record RequestLimits(
    int maximumInFlight, int bufferedBodyBytes, long maximumBufferedBytes, int maximumHeadBytes) {}
