package org.kumquatvane.distribution;

import java.time.Duration;
import java.util.function.Consumer;

/** The configuration source, which can only be read. Both calls return at once. */
public interface ItemSource {
  /** How new the items of a read must be. */
  enum Freshness {
    /** All changes that the source has accepted. */
    NEWEST,
    /** May lack the changes of the last seconds; far cheaper for the source. */
    MAY_LAG
  }

  /**
   * Reads all items.
   *
   * @param freshness how new they must be
   * @param onResponse receives parts as they come, and then exactly one answer
   */
  void readAll(Freshness freshness, Consumer<SourceResponse> onResponse);

  /**
   * Waits for changes.
   *
   * @param afterRevision revision up to which the reader knows the changes
   * @param maximumWait time after which the source answers without a change
   * @param onResponse receives exactly one answer
   */
  void watch(long afterRevision, Duration maximumWait, Consumer<SourceResponse> onResponse);
}
