package org.kumquatvane.distribution;

import org.kumquatvane.core.PeerMessage;

/**
 * One part of a document or fragment.
 *
 * @param digest digest of the whole content
 * @param totalBytes size of the whole content
 * @param offset index of the first byte of the part
 * @param bytes the part, at most {@link #MAXIMUM_BYTES}; not copied, so callers must not modify it
 */
@SuppressWarnings("ArrayRecordComponent") // Parts are never compared; a copy would cost 256 KiB.
public record DocumentPart(ContentDigest digest, int totalBytes, int offset, byte[] bytes)
    implements PeerMessage {
  /** A quarter of the maximum frame, which bounds the delay of other messages. */
  public static final int MAXIMUM_BYTES = 256 << 10;
}
