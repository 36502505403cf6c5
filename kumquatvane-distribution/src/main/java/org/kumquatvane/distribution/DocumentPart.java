package org.kumquatvane.distribution;

import org.kumquatvane.core.PeerMessage;

/**
 * One part of a document or fragment.
 *
 * @param digest digest of the whole content
 * @param totalBytes size of the whole content
 * @param offset first byte of the part
 * @param bytes the part, at most {@link #MAXIMUM_BYTES}; not copied, and changed by nobody
 */
@SuppressWarnings("ArrayRecordComponent") // Parts are never compared; a copy would cost 256 KiB.
public record DocumentPart(ContentDigest digest, int totalBytes, int offset, byte[] bytes)
    implements PeerMessage {
  /** Longest part, a quarter of a frame, so that other messages are not held up for long. */
  public static final int MAXIMUM_BYTES = 256 << 10;
}
