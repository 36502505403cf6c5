package org.kumquatvane.membership;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Collection;

/** Digest that identifies a set of members. */
public final class ViewDigest {
  /** Stands for no view. */
  public static final long NONE = 0;

  private ViewDigest() {}

  /**
   * Digests the names of the members.
   *
   * @param members the members in any order
   * @return first 64 bits of a SHA-256, never {@link #NONE}
   */
  public static long of(Collection<Vm> members) {
    MessageDigest sha256;
    try {
      sha256 = MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java runtime provides SHA-256", e);
    }
    members.stream()
        .map(member -> member.id().value())
        .sorted()
        .forEach(
            name -> {
              sha256.update(name.getBytes(StandardCharsets.UTF_8));
              sha256.update((byte) 0);
            });
    long digest = ByteBuffer.wrap(sha256.digest()).getLong();
    return digest == NONE ? 1 : digest;
  }
}
