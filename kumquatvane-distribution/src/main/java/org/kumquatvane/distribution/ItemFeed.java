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
import org.kumquatvane.distribution.internal.FeedState;
import org.kumquatvane.distribution.internal.InquiryTimes;
import org.kumquatvane.distribution.internal.ItemExchange;
import org.kumquatvane.distribution.internal.ItemPublisher;
import org.kumquatvane.distribution.internal.ItemTable;
import org.kumquatvane.distribution.internal.ItemUpdater;
import org.kumquatvane.distribution.internal.ResponseOrder;
import org.kumquatvane.distribution.internal.RetentionPeriod;
import org.kumquatvane.distribution.internal.SourceCaller;
import org.kumquatvane.distribution.internal.SourceContact;
import org.kumquatvane.distribution.internal.SourceEvents;
import org.kumquatvane.distribution.internal.StartInquiries;

/**
 * Keeps this VM's copy of the source's items up to date with few calls to the source.
 *
 * <p>Each VM reads all items once when it starts, and watches once for changes that this read does
 * not contain. After that, the first VMs of each failure domain watch the source and report each
 * change, and each unchanged state, to the other VMs of the domain. A VM without a confirmation
 * within the stale time watches the source itself, which covers failed readers and a lost
 * connection to them. Items are never replaced by those of an older position.
 *
 * <p>When the source returns from an older copy, its era rises. The readers then read all items
 * once and report them. Known items that are newer than those of the copy are kept for a time, or
 * until their writer writes them again.
 */
public final class ItemFeed {
  private static final Duration TICK_INTERVAL = Duration.ofMillis(150);

  private static final String READER_SELECTION_KEY = "source-reader";

  private final RankedLock lock = new RankedLock(LockRank.DISTRIBUTION);
  private final ItemFeedSettings settings;
  private final IntSupplier rank;
  private final Scheduler scheduler;
  private final Clock clock;
  private final SourceEvents events;
  private final OrderedEffects effects = new OrderedEffects();
  private final ItemTable table;
  private final CallSchedule calls;
  private final SourceContact contact;
  private final ItemPublisher publisher;
  private final SourceCaller caller;
  private final ItemUpdater updater;
  private final StartInquiries startInquiries = new StartInquiries();
  private final ItemExchange exchange;

  /**
   * Creates a feed without items.
   *
   * @param settings reader count and time limits
   * @param source the configuration source
   * @param rules what is kept of the items, and the order of their values
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
    this.rank = rank;
    this.clock = clock;
    this.scheduler = scheduler;
    events = new SourceEvents(counters, eventLog);
    table = new ItemTable(settings.maximumItemBytes(), rules);
    RetentionPeriod retention = new RetentionPeriod(settings.retentionTime(), clock);
    calls = new CallSchedule(clock, counters);
    contact = new SourceContact(settings.staleAfter(), settings.recoveryWindow(), clock);
    publisher = new ItemPublisher(table, contact, listener, effects, clock);
    FeedState state =
        new FeedState(
            table,
            retention,
            calls,
            contact,
            new ResponseOrder(),
            publisher,
            new InquiryTimes(clock, settings.retryDelay()));
    caller = new SourceCaller(lock, settings, source, rank, state, counters);
    updater = new ItemUpdater(settings, state, caller, startInquiries, events, effects);
    exchange =
        new ItemExchange(
            lock,
            table,
            retention,
            new ItemExchange.Receiver(updater::applyReport, effects::drain),
            rules,
            state.inquiries(),
            peers,
            sender,
            clock,
            scheduler,
            counters);
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
    lock.run(caller::close);
  }

  /**
   * Returns how far this VM follows the source.
   *
   * @return the state now
   */
  public ItemFeedStatus status() {
    return lock.call(
        () ->
            new ItemFeedStatus(
                table.position(),
                contact.ageNanos() / 1_000_000,
                contact.isLost(),
                table.retainedItems().size()));
  }

  /** Repeated at each interval, whatever happens in it. */
  private void tick() {
    try {
      lock.run(
          () -> {
            publisher.useWithheldItems();
            updater.releaseRetained();
          });
      effects.drain();
      exchange.sendStartInquiry(startInquiries);
      startNextCall(false);
    } finally {
      if (!lock.call(caller::isClosed)) {
        scheduler.schedule(Deadline.after(clock, TICK_INTERVAL), this::tick);
      }
    }
  }

  private void startNextCall(boolean followsResponse) {
    caller.startNext(followsResponse, this::onResponse);
  }

  private void onResponse(SourceResponse response) {
    if (response instanceof SourceResponse.Unavailable unavailable) {
      onFailure(unavailable);
    } else if (response instanceof SourceResponse.PartialSnapshot partial) {
      onPartialSnapshot(partial.items());
    } else if (response instanceof SourceResponse.HistoryLost lost) {
      events.historyLost(status().position());
      requireFullRead(lost.era());
    } else if (response instanceof SourceResponse.Unreadable unreadable) {
      events.changesUnreadable(unreadable.detail(), status().position());
      requireFullRead(SourcePosition.UNKNOWN_ERA);
    } else {
      int currentRank = rank.getAsInt();
      List<ItemsReport> reports = new ArrayList<>();
      lock.run(
          () -> {
            calls.onCallEnd();
            contact.onResponse();
            if (response instanceof SourceResponse.Changes changes) {
              reports.addAll(exchange.split(updater.applyChanges(changes, currentRank)));
            } else if (response instanceof SourceResponse.Snapshot snapshot) {
              reports.addAll(exchange.split(updater.applySnapshot(snapshot)));
            }
          });
      try {
        effects.drain();
      } finally {
        exchange.send(reports);
        // Without changes the next watch starts now instead of at the next tick.
        startNextCall(true);
      }
    }
  }

  /** Reads all items now, or at a later tick if the last such read was too recent. */
  private void requireFullRead(long era) {
    int currentRank = rank.getAsInt();
    lock.run(
        () -> {
          calls.onCallEnd();
          SourcePosition held = table.position();
          if (ResponseOrder.assumedEra(era, held) > held.era()) {
            caller.requireReadOfNewEra(currentRank);
          } else {
            calls.requireFullRead();
          }
        });
    startNextCall(true);
  }

  private void onPartialSnapshot(List<SourceItem> part) {
    lock.run(() -> updater.applyPage(part));
    effects.drain();
  }

  private void onFailure(SourceResponse.Unavailable failure) {
    boolean[] sendInquiry = new boolean[1];
    SourceContact.FailureChange change =
        lock.call(
            () -> {
              calls.onCallEnd();
              calls.pause(settings.retryDelay());
              sendInquiry[0] = !publisher.isConfirmed() && exchange.beginInquiry();
              SourceContact.FailureChange result =
                  contact.fail(failure.detail(), failure.hasBegun());
              // If changes cannot be watched, a read that does not lag confirms the items too.
              if (!table.position().isNone()
                  && (!publisher.isConfirmed() || contact.isResponseUnreceivable())) {
                calls.requireFullRead();
              }
              return result;
            });
    ItemFeedStatus status = status();
    events.failed(change, failure.detail(), status.position(), status.ageMillis());
    if (sendInquiry[0]) {
      exchange.sendInquiryToAnyPeer();
    }
  }
}
