package org.kumquatvane.core;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.HexFormat;

/** SHA-256 digest of a caller's key. The key itself is never stored. */
public final class KeyDigest {
  /** Length of a digest in bytes. */
  public static final int LENGTH_BYTES = 32;

  private final byte[] bytes;

  private KeyDigest(byte[] bytes) {
    this.bytes = bytes;
  }

  /**
   * Computes the digest of a key.
   *
   * @param key the key as the caller presents it
   * @return its digest
   */
  public static KeyDigest ofKey(String key) {
    return new KeyDigest(Sha256.digest(key.getBytes(StandardCharsets.UTF_8)));
  }

  /**
   * Wraps digest bytes.
   *
   * @param digest exactly {@link #LENGTH_BYTES} bytes; copied
   * @return the digest
   */
  public static KeyDigest ofBytes(byte[] digest) {
    if (digest.length != LENGTH_BYTES) {
      throw new IllegalArgumentException("a key digest has " + LENGTH_BYTES + " bytes");
    }
    return new KeyDigest(digest.clone());
  }

  /**
   * Parses a digest from hexadecimal text.
   *
   * @param text 64 hexadecimal digits
   * @return the digest
   * @throws IllegalArgumentException if the text has another form
   */
  public static KeyDigest ofHex(String text) {
    return ofBytes(HexFormat.of().parseHex(text));
  }

  /**
   * Returns the digest's bytes.
   *
   * @return a copy
   */
  public byte[] bytes() {
    return bytes.clone();
  }

  /**
   * Returns the digest as hexadecimal text.
   *
   * @return 64 lower-case digits
   */
  public String hex() {
    return HexFormat.of().formatHex(bytes);
  }

  @Override
  public boolean equals(Object other) {
    // Constant time, so that response times reveal nothing about stored digests.
    return other instanceof KeyDigest digest && MessageDigest.isEqual(bytes, digest.bytes);
  }

  @Override
  public int hashCode() {
    return Arrays.hashCode(bytes);
  }

  @Override
  public String toString() {
    return hex().substring(0, 12);
  }
}
