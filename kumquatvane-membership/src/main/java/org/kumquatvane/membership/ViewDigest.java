package org.kumquatvane.membership;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.stream.Collectors;
import org.kumquatvane.core.Sha256;

/** Digest that identifies a set of members. */
public final class ViewDigest {
  /** Digest that means that there is no view. */
  public static final long NONE = 0;

  private static final char SEPARATOR = '\0';

  private ViewDigest() {}

  /**
   * Computes the digest of the names of the members.
   *
   * @param members the members in any order
   * @return first 64 bits of a SHA-256, never {@link #NONE}
   */
  public static long of(Collection<Vm> members) {
    String names =
        members.stream()
            .map(member -> member.id().value() + SEPARATOR)
            .sorted()
            .collect(Collectors.joining());
    long digest = ByteBuffer.wrap(Sha256.digest(names.getBytes(StandardCharsets.UTF_8))).getLong();
    return digest == NONE ? 1 : digest;
  }
}
