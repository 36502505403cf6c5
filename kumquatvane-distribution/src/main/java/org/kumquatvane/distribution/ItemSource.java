package org.kumquatvane.distribution;

import java.time.Duration;
import java.util.function.Consumer;

/** Read-only configuration source. Its methods do not block. */
public interface ItemSource {
  /** Required freshness of a read. */
  enum Freshness {
    /** Contains all changes that the source has accepted. */
    NEWEST,
    /** May miss changes of the last seconds; much cheaper for the source. */
    MAY_LAG
  }

  /**
   * Reads all items.
   *
   * @param freshness required freshness
   * @param onResponse receives partial snapshots as they arrive, and then exactly one final
   *     response
   */
  void readAll(Freshness freshness, Consumer<SourceResponse> onResponse);

  /**
   * Waits for changes.
   *
   * @param after position after which changes are returned
   * @param maximumWait time after which the source responds without a change
   * @param onResponse receives exactly one response
   */
  void watch(SourcePosition after, Duration maximumWait, Consumer<SourceResponse> onResponse);
}
