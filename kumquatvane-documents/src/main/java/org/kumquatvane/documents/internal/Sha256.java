package org.kumquatvane.documents.internal;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Digests of inputs. */
public final class Sha256 {
  private Sha256() {}

  /**
   * Digests bytes.
   *
   * @param bytes the bytes
   * @return 64 lower-case hexadecimal digits
   */
  public static String hex(byte[] bytes) {
    try {
      return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java runtime provides SHA-256", e);
    }
  }
}
