package org.kumquatvane.distribution;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Counters;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.EventLog;
import org.kumquatvane.core.LockRank;
import org.kumquatvane.core.LogField;
import org.kumquatvane.core.OrderedEffects;
import org.kumquatvane.core.PeerDispatcher;
import org.kumquatvane.core.PeerSender;
import org.kumquatvane.core.RankedLock;
import org.kumquatvane.core.Scheduler;
import org.kumquatvane.core.VmId;
import org.kumquatvane.distribution.internal.ItemTable;

/**
 * Keeps this VM's copy of the source's items up to date with few calls to the source.
 *
 * <p>Each VM reads all items once when it starts, and watches once for changes that this read does
 * not contain. After that, the first VMs of each failure domain watch the source and report each
 * change, and each unchanged state, to the other VMs of the domain. A VM without a confirmation
 * within the stale time watches the source itself, which covers failed readers and a lost
 * connection to them. Items are never replaced by an older revision.
 */
public final class ItemFeed {
  private static final Duration TICK_INTERVAL = Duration.ofMillis(150);
  private static final String READER_SELECTION_KEY = "source-reader";

  private final RankedLock lock = new RankedLock(LockRank.DISTRIBUTION);
  private final ItemFeedSettings settings;
  private final ItemSource source;
  private final Supplier<List<VmId>> peers;
  private final IntSupplier rank;
  private final PeerSender sender;
  private final ItemListener listener;
  private final Clock clock;
  private final Scheduler scheduler;
  private final Counters counters;
  private final EventLog eventLog;
  private final OrderedEffects effects = new OrderedEffects();
  private final ItemTable table = new ItemTable();
  private long confirmedNanos;
  private boolean callInFlight;
  private boolean caughtUp;
  private boolean closed;
  private boolean sourceLost;
  private Deadline nextCall;
  private Deadline nextInquiry;
  private Deadline recoveryWindowEnd;

  /**
   * Creates a feed without items.
   *
   * @param settings reader count and time limits
   * @param source the configuration source
   * @param peers returns the other VMs of the failure domain
   * @param rank returns this VM's rank in the reader order of its failure domain, 0 for the first
   * @param sender sends to other VMs
   * @param listener notified of changed items
   * @param clock clock of the deadlines
   * @param scheduler runs the periodic check
   * @param counters counts calls
   * @param eventLog receives loss and recovery of the source
   */
  public ItemFeed(
      ItemFeedSettings settings,
      ItemSource source,
      Supplier<List<VmId>> peers,
      IntSupplier rank,
      PeerSender sender,
      ItemListener listener,
      Clock clock,
      Scheduler scheduler,
      Counters counters,
      EventLog eventLog) {
    this.settings = settings;
    this.source = source;
    this.peers = peers;
    this.rank = rank;
    this.sender = sender;
    this.listener = listener;
    this.clock = clock;
    this.scheduler = scheduler;
    this.counters = counters;
    this.eventLog = eventLog;
    Deadline now = new Deadline(clock.monotonicNanos());
    confirmedNanos = now.nanos();
    nextCall = now;
    nextInquiry = now;
    recoveryWindowEnd = now;
  }

  /**
   * Returns the key of the rendezvous hash order from which readers are selected.
   *
   * @return the key
   */
  public static String readerSelectionKey() {
    return READER_SELECTION_KEY;
  }

  /**
   * Registers the handlers of the messages.
   *
   * @param dispatcher delivers received messages
   */
  public void registerHandlers(PeerDispatcher dispatcher) {
    dispatcher.register(ItemsReport.class, this::onReport);
    dispatcher.register(ItemsInquiry.class, this::onInquiry);
  }

  /** Starts reading. */
  public void start() {
    tick();
  }

  /** Stops reading. */
  public void close() {
    lock.run(() -> closed = true);
  }

  /**
   * Returns the revision up to which this VM's items are complete.
   *
   * @return the revision, or a negative number before the first items
   */
  public long revision() {
    return lock.call(() -> table.revision());
  }

  /**
   * Returns the age of the newest confirmation that the items are up to date.
   *
   * @return milliseconds
   */
  public long ageMillis() {
    return lock.call(() -> (clock.monotonicNanos() - confirmedNanos) / 1_000_000);
  }

  private enum Call {
    NONE,
    READ,
    WATCH
  }

  private void tick() {
    int currentRank = rank.getAsInt();
    long[] after = new long[1];
    Call call =
        lock.call(
            () -> {
              after[0] = table.revision();
              return nextCall(currentRank);
            });
    if (call == Call.READ) {
      counters.add("source.reads", 1);
      // The next watch returns changes that a stale read does not contain.
      source.readAll(ItemSource.Freshness.MAY_LAG, this::onResponse);
    } else if (call == Call.WATCH) {
      counters.add("source.watches", 1);
      source.watch(after[0], settings.maximumWait(), this::onResponse);
    }
    if (!lock.call(() -> closed)) {
      scheduler.schedule(Deadline.after(clock, TICK_INTERVAL), this::tick);
    }
  }

  private Call nextCall(int currentRank) {
    if (closed || callInFlight || !nextCall.isReached(clock)) {
      return Call.NONE;
    }
    if (table.revision() == ItemTable.NO_REVISION) {
      callInFlight = true;
      return Call.READ;
    }
    if (currentRank < settings.readerCount() || !caughtUp || isStale(currentRank)) {
      callInFlight = true;
      return Call.WATCH;
    }
    return Call.NONE;
  }

  private boolean isStale(int currentRank) {
    long limit =
        settings.staleAfter().toNanos()
            + (long) (currentRank - settings.readerCount() + 1)
                * settings.takeoverStagger().toNanos();
    return clock.monotonicNanos() - confirmedNanos > limit;
  }

  private void onResponse(SourceResponse response) {
    if (response instanceof SourceResponse.Unavailable unavailable) {
      onFailure(unavailable.detail());
      return;
    }
    if (response instanceof SourceResponse.PartialSnapshot partial) {
      onPartialSnapshot(partial.items());
      return;
    }
    if (response instanceof SourceResponse.HistoryLost) {
      counters.add("source.history_lost", 1);
      eventLog.record(
          EventLog.Level.INFO, "source_history_lost", LogField.of("revision", revision()));
      counters.add("source.reads", 1);
      source.readAll(ItemSource.Freshness.NEWEST, this::onResponse);
      return;
    }
    List<ItemsReport> reports = new ArrayList<>();
    lock.run(
        () -> {
          callInFlight = false;
          long from = table.revision();
          caughtUp |= response instanceof SourceResponse.Changes;
          List<SourceItem> changed =
              response instanceof SourceResponse.Snapshot snapshot
                  ? table.applySnapshot(snapshot.items(), snapshot.revision())
                  : table.applyChanges(
                      ((SourceResponse.Changes) response).items(),
                      ((SourceResponse.Changes) response).revision());
          recordConfirmation();
          notifyListener(changed);
          if (!changed.isEmpty() && response instanceof SourceResponse.Changes) {
            nextCall = Deadline.after(clock, settings.changePause());
          }
          if (from != ItemTable.NO_REVISION) {
            reports.add(new ItemsReport(false, from, table.revision(), changed));
          }
        });
    effects.drain();
    for (ItemsReport report : reports) {
      peers.get().forEach(peer -> sender.send(peer, report));
    }
    // Without changes the next watch starts now instead of at the next tick.
    continueWatching();
  }

  /** Applies items before the read is complete, so that a starting VM can serve requests early. */
  private void onPartialSnapshot(List<SourceItem> part) {
    lock.run(
        () -> {
          notifyListener(table.applyPartialSnapshot(part));
        });
    effects.drain();
  }

  private void continueWatching() {
    int currentRank = rank.getAsInt();
    long[] after = new long[1];
    boolean watchAgain =
        lock.call(
            () -> {
              after[0] = table.revision();
              return nextCall(currentRank) == Call.WATCH;
            });
    if (watchAgain) {
      counters.add("source.watches", 1);
      source.watch(after[0], settings.maximumWait(), this::onResponse);
    }
  }

  private void onFailure(String detail) {
    counters.add("source.failures", 1);
    List<VmId> knownPeers = peers.get();
    boolean[] sendInquiry = new boolean[1];
    boolean newlyLost =
        lock.call(
            () -> {
              callInFlight = false;
              nextCall = Deadline.after(clock, settings.retryDelay());
              sendInquiry[0] =
                  table.revision() == ItemTable.NO_REVISION && nextInquiry.isReached(clock);
              if (sendInquiry[0]) {
                nextInquiry = Deadline.after(clock, settings.retryDelay());
              }
              boolean first = !sourceLost;
              sourceLost = true;
              return first;
            });
    if (newlyLost) {
      eventLog.record(
          EventLog.Level.WARNING,
          "source_lost",
          LogField.of("detail", detail),
          LogField.of("revision", revision()),
          LogField.of("age_ms", ageMillis()));
    }
    if (sendInquiry[0] && !knownPeers.isEmpty()) {
      // A VM without items requests them from a peer; newer items follow from the source.
      sender.send(
          knownPeers.get(Math.floorMod((int) clock.monotonicNanos(), knownPeers.size())),
          new ItemsInquiry(ItemTable.NO_REVISION));
    }
  }

  private void recordConfirmation() {
    long now = clock.monotonicNanos();
    if (now - confirmedNanos > 2 * settings.staleAfter().toNanos()) {
      recoveryWindowEnd = Deadline.after(clock, settings.recoveryWindow());
    }
    confirmedNanos = now;
    if (sourceLost) {
      sourceLost = false;
      long known = table.revision();
      effects.add(
          () ->
              eventLog.record(
                  EventLog.Level.INFO, "source_regained", LogField.of("revision", known)));
    }
  }

  private void notifyListener(List<SourceItem> changed) {
    if (!changed.isEmpty()) {
      boolean recovered = !recoveryWindowEnd.isReached(clock);
      effects.add(() -> listener.itemsChanged(changed, recovered));
    }
  }

  private void onReport(VmId from, ItemsReport report) {
    boolean gap =
        lock.call(
            () -> {
              if (report.complete()) {
                List<SourceItem> all = table.applySnapshot(report.items(), report.revision());
                caughtUp = true;
                recordConfirmation();
                notifyListener(all);
                return false;
              }
              if (report.fromRevision() > table.revision()) {
                boolean due = nextInquiry.isReached(clock);
                if (due) {
                  nextInquiry = Deadline.after(clock, settings.retryDelay());
                }
                return due;
              }
              List<SourceItem> changed = table.applyChanges(report.items(), report.revision());
              caughtUp = true;
              recordConfirmation();
              notifyListener(changed);
              return false;
            });
    effects.drain();
    if (gap) {
      counters.add("source.gaps", 1);
      sender.send(from, new ItemsInquiry(revision()));
    }
  }

  private void onInquiry(VmId from, ItemsInquiry inquiry) {
    List<ItemsReport> reports = new ArrayList<>();
    lock.run(
        () -> {
          if (table.revision() > inquiry.knownRevision()) {
            reports.add(new ItemsReport(true, 0, table.revision(), table.presentItems()));
          }
        });
    reports.forEach(report -> sender.send(from, report));
  }
}
