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
import org.kumquatvane.core.OrderedEffects;
import org.kumquatvane.core.PeerDispatcher;
import org.kumquatvane.core.PeerSender;
import org.kumquatvane.core.RankedLock;
import org.kumquatvane.core.Scheduler;
import org.kumquatvane.core.VmId;
import org.kumquatvane.distribution.internal.CallSchedule;
import org.kumquatvane.distribution.internal.InquiryTimes;
import org.kumquatvane.distribution.internal.ItemExchange;
import org.kumquatvane.distribution.internal.ItemTable;
import org.kumquatvane.distribution.internal.SourceContact;
import org.kumquatvane.distribution.internal.SourceEvents;

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

  /** Time for which the first items wait for their confirmation, which takes one fast call. */
  private static final Duration CONFIRMATION_LIMIT = Duration.ofMillis(100);

  private static final String READER_SELECTION_KEY = "source-reader";

  private final RankedLock lock = new RankedLock(LockRank.DISTRIBUTION);
  private final ItemFeedSettings settings;
  private final ItemSource source;
  private final IntSupplier rank;
  private final ItemListener listener;
  private final Clock clock;
  private final Scheduler scheduler;
  private final Counters counters;
  private final SourceEvents events;
  private final OrderedEffects effects = new OrderedEffects();
  private final ItemTable table;
  private final CallSchedule calls;
  private final SourceContact contact;
  private final ItemExchange exchange;
  private boolean caughtUp;
  private boolean closed;
  private long reportedLeftOut;
  private boolean isWithheld;
  private boolean usesUnconfirmed;
  private Deadline withheldUntil;

  /**
   * Creates a feed without items.
   *
   * @param settings reader count and time limits
   * @param source the configuration source
   * @param rules what is kept of the items that other VMs report
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
      ItemRules rules,
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
    this.rank = rank;
    this.listener = listener;
    this.clock = clock;
    this.scheduler = scheduler;
    this.counters = counters;
    events = new SourceEvents(counters, eventLog);
    table = new ItemTable(settings.maximumItemBytes(), rules::isEssential);
    calls = new CallSchedule(clock, counters);
    contact = new SourceContact(settings.staleAfter(), settings.recoveryWindow(), clock);
    exchange =
        new ItemExchange(
            lock,
            table,
            new ItemExchange.Receiver(this::apply, effects::drain),
            rules,
            new InquiryTimes(clock, settings.retryDelay()),
            peers,
            sender,
            clock,
            scheduler,
            counters);
    withheldUntil = new Deadline(clock.monotonicNanos());
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
    dispatcher.register(ItemsReport.class, exchange::onReport);
    dispatcher.register(ItemsInquiry.class, exchange::onInquiry);
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
    return lock.call(() -> contact.ageNanos() / 1_000_000);
  }

  /** Repeated at each interval, whatever happens in it. */
  private void tick() {
    try {
      useWithheldItems();
      startNextCall(false);
    } finally {
      if (!lock.call(() -> closed)) {
        scheduler.schedule(Deadline.after(clock, TICK_INTERVAL), this::tick);
      }
    }
  }

  /**
   * Starts the next call if one is due.
   *
   * @param followsResponse whether a response has just been handled; the first read is then left to
   *     the next tick
   */
  private void startNextCall(boolean followsResponse) {
    int currentRank = rank.getAsInt();
    long[] after = new long[1];
    boolean[] confirmed = new boolean[1];
    CallSchedule.Call call =
        lock.call(
            () -> {
              after[0] = table.revision();
              confirmed[0] = caughtUp;
              return chooseCall(currentRank, followsResponse);
            });
    // A VM that starts waits for the confirmation, which the source gives at once.
    Duration maximumWait = confirmed[0] ? settings.maximumWait() : Duration.ZERO;
    try {
      switch (call) {
        case FIRST_READ -> readAll(ItemSource.Freshness.MAY_LAG);
        case FULL_READ -> readAll(ItemSource.Freshness.NEWEST);
        case WATCH -> {
          counters.add("source.watches", 1);
          source.watch(after[0], maximumWait, this::onResponse);
        }
        default -> {}
      }
    } catch (RuntimeException e) {
      onFailure(new SourceResponse.Unavailable(e.toString()));
    }
  }

  private void readAll(ItemSource.Freshness freshness) {
    counters.add("source.reads", 1);
    source.readAll(freshness, this::onResponse);
  }

  private CallSchedule.Call chooseCall(int currentRank, boolean followsResponse) {
    return closed
        ? CallSchedule.Call.NONE
        : calls.begin(
            table.revision() != ItemTable.NO_REVISION,
            currentRank < settings.readerCount() || !caughtUp || isStale(currentRank),
            followsResponse);
  }

  private boolean isStale(int currentRank) {
    long limit =
        settings.staleAfter().toNanos()
            + (long) (currentRank - settings.readerCount() + 1)
                * settings.takeoverStagger().toNanos();
    return contact.ageNanos() > limit;
  }

  private void onResponse(SourceResponse response) {
    if (response instanceof SourceResponse.Unavailable unavailable) {
      onFailure(unavailable);
      return;
    }
    if (response instanceof SourceResponse.PartialSnapshot partial) {
      onPartialSnapshot(partial.items());
      return;
    }
    if (response instanceof SourceResponse.HistoryLost) {
      events.historyLost(revision());
      requireFullRead();
      return;
    }
    if (response instanceof SourceResponse.Unreadable unreadable) {
      events.changesUnreadable(unreadable.detail(), revision());
      requireFullRead();
      return;
    }
    List<ItemsReport> reports = new ArrayList<>();
    lock.run(() -> reports.addAll(applyResponse(response)));
    try {
      effects.drain();
    } finally {
      exchange.send(reports);
      // Without changes the next watch starts now instead of at the next tick.
      startNextCall(true);
    }
  }

  /** Applies a whole response and returns what to report to other VMs. */
  private List<ItemsReport> applyResponse(SourceResponse response) {
    calls.onCallEnd();
    contact.onResponse();
    long from = table.revision();
    // Only the first read may lag.
    boolean isConfirmation =
        response instanceof SourceResponse.Changes || from != ItemTable.NO_REVISION;
    ItemTable.Update update;
    if (response instanceof SourceResponse.Snapshot snapshot) {
      calls.onReadEnd();
      update = table.applySnapshot(usable(snapshot.items()), snapshot.revision());
    } else {
      SourceResponse.Changes changes = (SourceResponse.Changes) response;
      update = table.applyChanges(usable(changes.items()), changes.revision());
      if (!update.changed().isEmpty()) {
        calls.pause(settings.changePause());
      }
    }
    recordConfirmation();
    if (isConfirmation) {
      notifyOfConfirmed(update.changed());
    } else if (usesUnconfirmed) {
      notifyListener(update.changed());
    }
    // Other VMs lack what this one has used already from the first pages of a read.
    return from == ItemTable.NO_REVISION ? List.of() : exchange.split(from, update.sinceRevision());
  }

  /**
   * Returns items as they are kept: a value that cannot be used names nothing, like a removed key.
   */
  private static List<SourceItem> usable(List<SourceItem> items) {
    return items.stream().map(SourceItem::orRemoval).toList();
  }

  /** Reads all items now, or at a later tick if the last such read was too recent. */
  private void requireFullRead() {
    lock.run(
        () -> {
          calls.onCallEnd();
          calls.requireFullRead();
        });
    startNextCall(true);
  }

  /** Applies items before a read is complete, so that a starting VM can serve requests early. */
  private void onPartialSnapshot(List<SourceItem> part) {
    lock.run(
        () -> {
          calls.onPartialResponse();
          List<SourceItem> changed = table.applyPartialSnapshot(usable(part));
          if (caughtUp || usesUnconfirmed) {
            notifyListener(changed);
          } else if (!isWithheld) {
            isWithheld = true;
            withheldUntil = Deadline.after(clock, CONFIRMATION_LIMIT);
          }
        });
    effects.drain();
  }

  private void onFailure(SourceResponse.Unavailable failure) {
    boolean[] sendInquiry = new boolean[1];
    SourceContact.FailureChange change =
        lock.call(
            () -> {
              calls.onCallEnd();
              calls.pause(settings.retryDelay());
              sendInquiry[0] = !caughtUp && exchange.beginInquiry();
              SourceContact.FailureChange result =
                  contact.fail(failure.detail(), failure.hasBegun());
              // If changes cannot be watched, a read that does not lag confirms the items too.
              if (table.revision() != ItemTable.NO_REVISION
                  && (!caughtUp || contact.isResponseUnreceivable())) {
                calls.requireFullRead();
              }
              return result;
            });
    events.failed(change, failure.detail(), revision(), ageMillis());
    if (sendInquiry[0]) {
      exchange.sendInquiryToAnyPeer();
    }
  }

  private void recordConfirmation() {
    exchange.onUpToDate();
    long leftOut = table.itemsLeftOut() - reportedLeftOut;
    if (leftOut > 0) {
      reportedLeftOut += leftOut;
      effects.add(() -> events.itemsLeftOut(leftOut, settings.maximumItemBytes()));
    }
    if (contact.confirm()) {
      long known = table.revision();
      effects.add(() -> events.regained(known));
    }
  }

  /**
   * Notifies the listener of items that are known to be up to date. The first time these are all
   * items: a first read may lag by seconds, and a restarted VM must not use a key that was
   * withdrawn or an instance that left meanwhile.
   */
  private void notifyOfConfirmed(List<SourceItem> changed) {
    boolean isFirst = !caughtUp && !usesUnconfirmed;
    caughtUp = true;
    isWithheld = false;
    notifyListener(isFirst ? table.presentItems() : changed);
  }

  /**
   * Uses the first pages without a confirmation while a long read goes on, since a VM without items
   * rejects all requests. After a failed call the confirmation is awaited, however long it takes.
   */
  private void useWithheldItems() {
    lock.run(
        () -> {
          if (isWithheld && !contact.isLost() && withheldUntil.isReached(clock)) {
            isWithheld = false;
            usesUnconfirmed = true;
            notifyListener(table.presentItems());
          }
        });
    effects.drain();
  }

  private void notifyListener(List<SourceItem> changed) {
    if (!changed.isEmpty()) {
      boolean recovered = contact.isRecovering();
      effects.add(() -> listener.itemsChanged(changed, recovered));
    }
  }

  /** Applies a report and returns false if changes before it are missing. */
  private boolean apply(ItemsReport report) {
    if (!report.complete() && report.fromRevision() > table.revision()) {
      return false;
    }
    // A reader that knows less than this VM confirms nothing.
    boolean isConfirmation = report.revision() >= table.revision();
    ItemTable.Update update =
        report.complete()
            ? table.applySnapshot(report.items(), report.revision())
            : table.applyChanges(report.items(), report.revision());
    if (isConfirmation) {
      recordConfirmation();
      notifyOfConfirmed(update.changed());
    } else if (caughtUp) {
      notifyListener(update.changed());
    }
    return true;
  }
}
