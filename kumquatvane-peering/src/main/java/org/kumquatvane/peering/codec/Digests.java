package org.kumquatvane.peering.codec;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import org.kumquatvane.core.KeyDigest;
import org.kumquatvane.distribution.ContentDigest;

/** Converts digests to and from bytes, which take half the space of their hexadecimal text. */
final class Digests {
  private Digests() {}

  static byte[] toBytes(ContentDigest digest) {
    return HexFormat.of().parseHex(digest.hex());
  }

  static ContentDigest toContentDigest(byte[] bytes) {
    return new ContentDigest(HexFormat.of().formatHex(bytes));
  }

  /** Concatenates all digests, which avoids a MessagePack header for each. */
  static byte[] toBytes(List<KeyDigest> digests) {
    byte[] bytes = new byte[digests.size() * KeyDigest.LENGTH_BYTES];
    for (int i = 0; i < digests.size(); i++) {
      byte[] digest = digests.get(i).bytes();
      System.arraycopy(digest, 0, bytes, i * KeyDigest.LENGTH_BYTES, digest.length);
    }
    return bytes;
  }

  static List<KeyDigest> toKeyDigests(byte[] bytes) throws MalformedMessageException {
    if (bytes.length % KeyDigest.LENGTH_BYTES != 0) {
      throw new MalformedMessageException(
          "length " + bytes.length + " is not a multiple of the digest length");
    }
    List<KeyDigest> digests = new ArrayList<>();
    for (int start = 0; start < bytes.length; start += KeyDigest.LENGTH_BYTES) {
      byte[] digest = Arrays.copyOfRange(bytes, start, start + KeyDigest.LENGTH_BYTES);
      digests.add(KeyDigest.ofBytes(digest));
    }
    return digests;
  }
}
