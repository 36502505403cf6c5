package org.kumquatvane.http;

/**
 * Sizes that bound the memory of requests.
 *
 * @param maximumHeadBytes longest request line and header fields together
 * @param bufferedBodyBytes longest body that is buffered; longer ones are streamed
 * @param bufferUndeclaredLength whether bodies without a declared length are buffered too; they are
 *     then limited to bufferedBodyBytes
 * @param maximumBufferedBytes all buffered bodies of the VM together
 */
public record MessageSizeLimits(
    int maximumHeadBytes,
    int bufferedBodyBytes,
    boolean bufferUndeclaredLength,
    long maximumBufferedBytes) {}
