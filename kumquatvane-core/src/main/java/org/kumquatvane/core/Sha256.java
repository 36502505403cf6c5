package org.kumquatvane.core;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** SHA-256 digests. */
public final class Sha256 {
  private Sha256() {}

  /**
   * Computes the digest of bytes.
   *
   * @param bytes the bytes
   * @return 32 bytes
   */
  public static byte[] digest(byte[] bytes) {
    try {
      return MessageDigest.getInstance("SHA-256").digest(bytes);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java runtime provides SHA-256", e);
    }
  }

  /**
   * Computes the digest of bytes.
   *
   * @param bytes the bytes
   * @return 64 lower-case hexadecimal digits
   */
  public static String hex(byte[] bytes) {
    return HexFormat.of().formatHex(digest(bytes));
  }

  /**
   * Computes the digest of a text.
   *
   * @param text the text, encoded as UTF-8
   * @return 64 lower-case hexadecimal digits
   */
  public static String hex(String text) {
    return hex(text.getBytes(StandardCharsets.UTF_8));
  }
}
