package org.kumquatvane.distribution.internal;

import org.kumquatvane.distribution.SourcePosition;

/**
 * Judges whether a response of the source is newer than this VM's items. Guarded by the lock of the
 * feed.
 *
 * <p>A response may be older because a report of another VM has overtaken it. Only a call that
 * began with the same items and does not lag shows that the source itself holds less.
 */
public final class ResponseOrder {
  /** An era that is further ahead than this is taken for unreadable. */
  private static final long MAXIMUM_ERA_STEP = 1_000;

  /**
   * Reads in a row that show older items than were known when they began, after which these are
   * used: the era that is held cannot be that of the source.
   */
  private static final int OLDER_READS_LIMIT = 3;

  private SourcePosition heldAtCall = SourcePosition.NONE;
  private int olderReads;

  /** What to do with a response. */
  public enum Verdict {
    /** It is at least as new as the items; it can be applied. */
    CURRENT,
    /** It shows that a newer era has begun, so that all items must be read. */
    NEW_ERA,
    /** A report of another VM has overtaken it; it says nothing. */
    LATE,
    /** The source holds less than this VM; all items must be read again. */
    OLDER,
    /** The source has held less for several reads, so its items replace all that are known. */
    REPLACEMENT
  }

  /**
   * Records the begin of a call.
   *
   * @param held position of this VM's items
   */
  public void onCall(SourcePosition held) {
    heldAtCall = held;
  }

  /**
   * Returns the era to assume for a response. One that does not tell a plausible era belongs to the
   * era that this VM holds.
   *
   * @param era era that the response tells, or {@link SourcePosition#UNKNOWN_ERA}
   * @param held position of this VM's items
   * @return the era, not negative
   */
  public static long assumedEra(long era, SourcePosition held) {
    if (held.isNone()) {
      return Math.max(era, 0);
    }
    boolean isPlausible = era >= 0 && era - held.era() <= MAXIMUM_ERA_STEP;
    return isPlausible ? era : held.era();
  }

  /**
   * Judges changes.
   *
   * @param era assumed era of the response
   * @param held position of this VM's items
   * @return what to do with them
   */
  public Verdict judgeChanges(long era, SourcePosition held) {
    if (era > held.era()) {
      return Verdict.NEW_ERA;
    }
    if (era == held.era()) {
      // Changes after a revision of another era leave out what was changed before it in this one.
      return heldAtCall.era() == era ? Verdict.CURRENT : Verdict.LATE;
    }
    return heldAtCall.era() > era ? Verdict.OLDER : Verdict.LATE;
  }

  /**
   * Judges a read of all items.
   *
   * @param at assumed position of the response
   * @param held position of this VM's items
   * @param isConfirmed whether the items that are held have been confirmed once
   * @return what to do with it
   */
  public Verdict judgeRead(SourcePosition at, SourcePosition held, boolean isConfirmed) {
    if (!at.isBefore(held)) {
      olderReads = 0;
      return Verdict.CURRENT;
    }
    if (!at.isBefore(heldAtCall)) {
      return Verdict.LATE;
    }
    olderReads++;
    if (isConfirmed && olderReads < OLDER_READS_LIMIT) {
      return Verdict.OLDER;
    }
    olderReads = 0;
    return Verdict.REPLACEMENT;
  }
}
