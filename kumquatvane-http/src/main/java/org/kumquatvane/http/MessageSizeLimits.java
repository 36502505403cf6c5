package org.kumquatvane.http;

/**
 * Size limits that bound the memory used by requests.
 *
 * @param maximumHeadBytes maximum size of the request line and the header fields together
 * @param bufferedBodyBytes maximum size of a buffered body; larger bodies are streamed
 * @param bufferUndeclaredLength whether bodies without a declared length are buffered too; their
 *     size is then limited to bufferedBodyBytes
 * @param maximumBufferedBytes maximum total size of all buffered bodies of the VM
 */
public record MessageSizeLimits(
    int maximumHeadBytes,
    int bufferedBodyBytes,
    boolean bufferUndeclaredLength,
    long maximumBufferedBytes) {}
