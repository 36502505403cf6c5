package org.kumquatvane.distribution;

import java.util.regex.Pattern;
import org.kumquatvane.core.Sha256;

/**
 * SHA-256 of a document's main bytes or of one fragment.
 *
 * @param hex 64 lower-case hexadecimal digits
 */
public record ContentDigest(String hex) {
  private static final Pattern FORM = Pattern.compile("[0-9a-f]{64}");

  /**
   * Checks the form.
   *
   * @throws IllegalArgumentException if the text is not 64 lower-case hexadecimal digits
   */
  public ContentDigest {
    if (!FORM.matcher(hex).matches()) {
      throw new IllegalArgumentException("a digest has 64 lower-case hexadecimal digits");
    }
  }

  /**
   * Computes the digest of bytes.
   *
   * @param bytes the bytes
   * @return their digest
   */
  public static ContentDigest of(byte[] bytes) {
    return new ContentDigest(Sha256.hex(bytes));
  }

  @Override
  public String toString() {
    return hex.substring(0, 12);
  }
}
