package org.kumquatvane.distribution;

/**
 * Place of a change in the history of the source.
 *
 * <p>A source that returns from an older copy begins a new era and gives revisions out again, so a
 * revision orders only events of its own era.
 *
 * @param era number of the history, which rises with each return from a copy
 * @param revision number of the change within the era
 */
public record SourcePosition(long era, long revision) implements Comparable<SourcePosition> {
  /** Era of a response that does not tell its era. */
  public static final long UNKNOWN_ERA = -1;

  /** Position before the first complete set of items. */
  public static final SourcePosition NONE = new SourcePosition(UNKNOWN_ERA, -1);

  /**
   * Returns whether this is the position before the first complete set.
   *
   * @return whether nothing is known
   */
  public boolean isNone() {
    return equals(NONE);
  }

  /**
   * Returns whether this position precedes another one.
   *
   * @param other the other position
   * @return whether this one is older
   */
  public boolean isBefore(SourcePosition other) {
    return compareTo(other) < 0;
  }

  /**
   * Returns whether this position follows another one.
   *
   * @param other the other position
   * @return whether this one is newer
   */
  public boolean isAfter(SourcePosition other) {
    return compareTo(other) > 0;
  }

  /**
   * Returns the newer of two positions.
   *
   * @param other the other position
   * @return the newer one
   */
  public SourcePosition newest(SourcePosition other) {
    return isBefore(other) ? other : this;
  }

  /**
   * Returns the same revision in another era.
   *
   * @param otherEra the era
   * @return the position
   */
  public SourcePosition inEra(long otherEra) {
    return new SourcePosition(otherEra, revision);
  }

  @Override
  public int compareTo(SourcePosition other) {
    int eras = Long.compare(era, other.era);
    return eras != 0 ? eras : Long.compare(revision, other.revision);
  }
}
