package org.kumquatvane.standins.internal;

/**
 * One state of a value.
 *
 * @param version version that the protocol reports
 * @param content bytes of the value
 * @param publishedNanos reading of {@link System#nanoTime()} when it was put
 */
@SuppressWarnings("ArrayRecordComponent") // Compared by version only; the bytes are never changed.
public record Revision(long version, byte[] content, long publishedNanos) {}
