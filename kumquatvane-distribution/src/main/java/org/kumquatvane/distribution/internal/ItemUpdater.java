package org.kumquatvane.distribution.internal;

import java.util.ArrayList;
import java.util.List;
import org.kumquatvane.core.OrderedEffects;
import org.kumquatvane.distribution.ItemFeedSettings;
import org.kumquatvane.distribution.ItemsReport;
import org.kumquatvane.distribution.SourceItem;
import org.kumquatvane.distribution.SourcePosition;
import org.kumquatvane.distribution.SourceResponse;

/**
 * Applies responses of the source and reports of other VMs to this VM's items. Called under the
 * lock of the feed.
 */
public final class ItemUpdater {
  /** What other VMs are told after a response. */
  public sealed interface Report {
    /** Nothing. */
    Report NONE = new Report.Nothing();

    /** Nothing, because nothing was confirmed. */
    record Nothing() implements Report {}

    /** All items. */
    record AllItems() implements Report {}

    /**
     * Changes.
     *
     * @param from position after which the list contains all changes
     * @param items changed and removed items
     */
    record Changes(SourcePosition from, List<SourceItem> items) implements Report {}
  }

  private final ItemFeedSettings settings;
  private final ItemTable table;
  private final RetentionPeriod retention;
  private final CallSchedule calls;
  private final SourceContact contact;
  private final ResponseOrder order;
  private final ItemPublisher publisher;
  private final InquiryTimes inquiries;
  private final SourceCaller caller;
  private final StartInquiries startInquiries;
  private final SourceEvents events;
  private final OrderedEffects effects;
  private long reportedLeftOut;

  /**
   * Creates an updater.
   *
   * @param settings time limits
   * @param state items of this VM, and what is known of the source
   * @param caller makes the calls to the source
   * @param startInquiries is told when no further VM has to be asked
   * @param events logs what happens in the contact with the source
   * @param effects runs notifications without the lock
   */
  public ItemUpdater(
      ItemFeedSettings settings,
      FeedState state,
      SourceCaller caller,
      StartInquiries startInquiries,
      SourceEvents events,
      OrderedEffects effects) {
    this.settings = settings;
    table = state.table();
    retention = state.retention();
    calls = state.calls();
    contact = state.contact();
    order = state.order();
    publisher = state.publisher();
    inquiries = state.inquiries();
    this.caller = caller;
    this.startInquiries = startInquiries;
    this.events = events;
    this.effects = effects;
  }

  /**
   * Applies changes.
   *
   * @param changes the changes
   * @param currentRank this VM's rank in the reader order
   * @return what to report to other VMs
   */
  public Report applyChanges(SourceResponse.Changes changes, int currentRank) {
    SourcePosition held = table.position();
    long era = ResponseOrder.assumedEra(changes.position().era(), held);
    switch (order.judgeChanges(era, held)) {
      case CURRENT -> {}
      case NEW_ERA -> {
        caller.requireReadOfNewEra(currentRank);
        return Report.NONE;
      }
      case OLDER -> {
        SourcePosition at = changes.position().inEra(era);
        effects.add(() -> events.olderThanHeld(at, held, false));
        calls.requireFullRead();
        return Report.NONE;
      }
      default -> {
        return Report.NONE;
      }
    }
    ItemTable.Update update =
        table.applyChanges(usable(changes.items(), era), changes.position().inEra(era));
    if (!update.changed().isEmpty()) {
      calls.pause(settings.changePause());
    }
    recordConfirmation();
    publisher.publishConfirmed(update.changed());
    // Other VMs lack what this one has used already from the first pages of a read.
    return new Report.Changes(held, update.sincePosition());
  }

  /**
   * Applies a read of all items.
   *
   * @param snapshot the read
   * @return what to report to other VMs
   */
  public Report applySnapshot(SourceResponse.Snapshot snapshot) {
    calls.onReadEnd();
    SourcePosition held = table.position();
    long era = ResponseOrder.assumedEra(snapshot.position().era(), held);
    SourcePosition at = snapshot.position().inEra(era);
    List<SourceItem> items = usable(snapshot.items(), era);
    ItemTable.Update update;
    switch (order.judgeRead(at, held, publisher.isConfirmed())) {
      case REPLACEMENT -> {
        // A source that does not tell its era shows its return by its lower revision only.
        boolean isReturn = snapshot.position().era() != era && !held.isNone();
        SourcePosition used = isReturn ? at.inEra(era + 1) : at;
        effects.add(() -> events.olderThanHeld(at, held, true));
        update =
            isReturn
                ? table.applySnapshot(usable(snapshot.items(), era + 1), used)
                : table.replaceAll(items, used);
      }
      case OLDER -> {
        effects.add(() -> events.olderThanHeld(at, held, false));
        calls.requireFullRead();
        return Report.NONE;
      }
      default -> update = table.applySnapshot(items, at);
    }
    effects.add(events::itemsRead);
    recordEra(held);
    recordConfirmation();
    if (held.isNone()) {
      // Only the first read may lag.
      publisher.publishUnconfirmed(update.changed());
      return Report.NONE;
    }
    publisher.publishConfirmed(update.changed());
    // A read shows no removals of keys that only other VMs know, so they need all items.
    return table.position().equals(held)
        ? new Report.Changes(held, update.sincePosition())
        : new Report.AllItems();
  }

  /**
   * Returns items as they are kept: a value that cannot be used names nothing, like a removed key.
   */
  private static List<SourceItem> usable(List<SourceItem> items, long era) {
    return items.stream().map(item -> item.orRemoval().at(item.position().inEra(era))).toList();
  }

  /**
   * Applies items before a read is complete, so that a starting VM can serve requests early. Those
   * of another era wait for the last page, since only all items show what the source has lost.
   *
   * @param part the items
   */
  public void applyPage(List<SourceItem> part) {
    calls.onPartialResponse();
    SourcePosition held = table.position();
    long era =
        part.isEmpty() ? held.era() : ResponseOrder.assumedEra(part.get(0).position().era(), held);
    if (held.isNone() || era == held.era()) {
      publisher.publishPage(table.applyPartialSnapshot(usable(part, era)));
    }
  }

  /** Uses the items of the source that were put aside, once the time for it has come. */
  public void releaseRetained() {
    if (retention.endIfReached()) {
      List<SourceItem> released = table.releaseRetained();
      publisher.publishUnconfirmed(released);
      if (!released.isEmpty()) {
        effects.add(() -> events.retainedReleased(released.size()));
      }
    }
  }

  private void recordConfirmation() {
    inquiries.onUpToDate();
    long leftOut = table.itemsLeftOut() - reportedLeftOut;
    if (leftOut > 0) {
      reportedLeftOut += leftOut;
      effects.add(() -> events.itemsLeftOut(leftOut, settings.maximumItemBytes()));
    }
    if (contact.confirm()) {
      SourcePosition known = table.position();
      effects.add(() -> events.regained(known));
    }
  }

  /** Records a change of the era, if there was one since the given position. */
  private void recordEra(SourcePosition before) {
    SourcePosition now = table.position();
    if (before.isNone() || now.era() == before.era()) {
      return;
    }
    retention.begin();
    startInquiries.onAnswer();
    contact.onEraChange();
    calls.onItemsReported();
    events.itemsRead();
    int retained = table.retainedItems().size();
    effects.add(() -> events.eraChanged(before, now, retained));
  }

  /**
   * Applies a report of another VM.
   *
   * @param report the whole report
   * @return false if changes before it are missing
   */
  public boolean applyReport(ItemsReport report) {
    SourcePosition held = table.position();
    if (!report.complete() && report.from().isAfter(held)) {
      return false;
    }
    // A reader that knows less than this VM confirms nothing.
    boolean isConfirmation = !report.position().isBefore(held);
    List<SourceItem> changed = new ArrayList<>();
    if (report.complete()) {
      changed.addAll(table.applySnapshot(report.items(), report.position()).changed());
    } else if (report.position().era() == held.era()) {
      changed.addAll(table.applyChanges(report.items(), report.position()).changed());
    }
    recordEra(held);
    if (!report.retained().items().isEmpty()) {
      retention.join(report.retained().remainingMillis());
      startInquiries.onAnswer();
      changed.addAll(table.applyRetained(report.retained().items()));
    }
    if (isConfirmation) {
      recordConfirmation();
      publisher.publishConfirmed(changed);
    } else {
      publisher.publishUnconfirmed(changed);
    }
    return true;
  }
}
