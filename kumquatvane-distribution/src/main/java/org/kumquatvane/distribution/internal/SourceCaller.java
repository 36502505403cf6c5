package org.kumquatvane.distribution.internal;

import java.time.Duration;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import org.kumquatvane.core.Counters;
import org.kumquatvane.core.RankedLock;
import org.kumquatvane.distribution.ItemFeedSettings;
import org.kumquatvane.distribution.ItemSource;
import org.kumquatvane.distribution.SourcePosition;
import org.kumquatvane.distribution.SourceResponse;

/** Makes the calls to the source that are due on this VM. */
public final class SourceCaller {
  /**
   * Longest time for which a VM that is not the first reader awaits the items of a new era from the
   * reader before it reads them itself.
   */
  private static final Duration MAXIMUM_WAIT_FOR_REPORT = Duration.ofMillis(300);

  private final RankedLock lock;
  private final ItemFeedSettings settings;
  private final ItemSource source;
  private final IntSupplier rank;
  private final FeedState state;
  private final Counters counters;
  private boolean closed;

  private record DueCall(CallSchedule.Call call, SourcePosition held, Duration maximumWait) {}

  /**
   * Creates a caller.
   *
   * @param lock lock of the feed
   * @param settings reader count and time limits
   * @param source the configuration source
   * @param rank returns this VM's rank in the reader order of its failure domain, 0 for the first
   * @param state items of this VM, and what is known of the source
   * @param counters counts calls
   */
  public SourceCaller(
      RankedLock lock,
      ItemFeedSettings settings,
      ItemSource source,
      IntSupplier rank,
      FeedState state,
      Counters counters) {
    this.lock = lock;
    this.settings = settings;
    this.source = source;
    this.rank = rank;
    this.state = state;
    this.counters = counters;
  }

  /**
   * Starts the next call if one is due.
   *
   * @param followsResponse whether a response has just been handled; the first read is then left to
   *     the next tick
   * @param onResponse receives the responses
   */
  public void startNext(boolean followsResponse, Consumer<SourceResponse> onResponse) {
    int currentRank = rank.getAsInt();
    DueCall due = lock.call(() -> begin(currentRank, followsResponse));
    try {
      switch (due.call()) {
        case FIRST_READ -> readAll(ItemSource.Freshness.MAY_LAG, onResponse);
        case FULL_READ -> readAll(ItemSource.Freshness.NEWEST, onResponse);
        case WATCH -> {
          counters.add("source.watches", 1);
          source.watch(due.held(), due.maximumWait(), onResponse);
        }
        default -> {}
      }
    } catch (RuntimeException e) {
      onResponse.accept(new SourceResponse.Unavailable(e.toString()));
    }
  }

  private void readAll(ItemSource.Freshness freshness, Consumer<SourceResponse> onResponse) {
    counters.add("source.reads", 1);
    source.readAll(freshness, onResponse);
  }

  private DueCall begin(int currentRank, boolean followsResponse) {
    SourcePosition held = state.table().position();
    boolean isConfirmed = state.publisher().isConfirmed();
    CallSchedule.Call call =
        closed
            ? CallSchedule.Call.NONE
            : state
                .calls()
                .begin(
                    !held.isNone(),
                    currentRank < settings.readerCount() || !isConfirmed || isStale(currentRank),
                    followsResponse);
    if (call != CallSchedule.Call.NONE) {
      state.order().onCall(held);
    }
    // A VM that starts waits for the confirmation, which the source gives at once.
    return new DueCall(call, held, isConfirmed ? settings.maximumWait() : Duration.ZERO);
  }

  private boolean isStale(int currentRank) {
    return state.contact().ageNanos()
        > settings.staleAfter().toNanos() + stagger(currentRank).toNanos();
  }

  private Duration stagger(int currentRank) {
    return settings.takeoverStagger().multipliedBy(currentRank - settings.readerCount() + 1L);
  }

  /**
   * Makes a read of all items the next call, because a new era has begun. Readers read at once; the
   * other VMs give the reader's report the time to arrive. Called under the lock of the feed.
   *
   * @param currentRank this VM's rank in the reader order
   */
  public void requireReadOfNewEra(int currentRank) {
    state.calls().requireFullRead();
    if (currentRank >= settings.readerCount()) {
      Duration wait = stagger(currentRank);
      state
          .calls()
          .pause(wait.compareTo(MAXIMUM_WAIT_FOR_REPORT) < 0 ? wait : MAXIMUM_WAIT_FOR_REPORT);
    }
  }

  /** Starts no further call. Called under the lock of the feed. */
  public void close() {
    closed = true;
  }

  /**
   * Returns whether no further call is started. Called under the lock of the feed.
   *
   * @return whether the caller was closed
   */
  public boolean isClosed() {
    return closed;
  }
}
