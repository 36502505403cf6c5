package org.kumquatvane.distribution.internal;

import java.util.concurrent.atomic.AtomicBoolean;
import org.kumquatvane.core.Counters;
import org.kumquatvane.core.EventLog;
import org.kumquatvane.core.LogField;
import org.kumquatvane.distribution.SourcePosition;

/** Counts and logs what happens in the contact with the source. */
public final class SourceEvents {
  private final Counters counters;
  private final EventLog eventLog;

  /** Whether lost history was logged since all items were last read. */
  private final AtomicBoolean loggedLostHistory = new AtomicBoolean();

  /**
   * Creates the events.
   *
   * @param counters counts them
   * @param eventLog records them
   */
  public SourceEvents(Counters counters, EventLog eventLog) {
    this.counters = counters;
    this.eventLog = eventLog;
  }

  /**
   * Records that the source does not hold the requested changes; only the first time until all
   * items have been read is logged.
   *
   * @param position position of this VM's items
   */
  public void historyLost(SourcePosition position) {
    counters.add("source.history_lost", 1);
    if (!loggedLostHistory.getAndSet(true)) {
      eventLog.record(
          EventLog.Level.INFO,
          "source_history_lost",
          LogField.of("era", position.era()),
          LogField.of("revision", position.revision()));
    }
  }

  /** Records that all items have been read and applied. */
  public void itemsRead() {
    loggedLostHistory.set(false);
  }

  /**
   * Records that this VM follows another era of the source.
   *
   * @param from position of the items before
   * @param to position of the items now
   * @param retained number of items that are kept in place of older ones of the source
   */
  public void eraChanged(SourcePosition from, SourcePosition to, int retained) {
    counters.add("source.era_changes", 1);
    eventLog.record(
        EventLog.Level.WARNING,
        "source_era_changed",
        LogField.of("from_era", from.era()),
        LogField.of("from_revision", from.revision()),
        LogField.of("era", to.era()),
        LogField.of("revision", to.revision()),
        LogField.of("retained_items", retained));
  }

  /**
   * Records that items of the source are used which were put aside after a change of its era.
   *
   * @param items their number
   */
  public void retainedReleased(int items) {
    counters.add("source.retained_items_released", items);
    eventLog.record(EventLog.Level.INFO, "source_retained_released", LogField.of("items", items));
  }

  /**
   * Records that the source holds older items than this VM.
   *
   * @param at position of the source
   * @param held position of this VM's items
   * @param isReplaced whether the source's items replace those of this VM
   */
  public void olderThanHeld(SourcePosition at, SourcePosition held, boolean isReplaced) {
    counters.add("source.older_responses", 1);
    if (isReplaced) {
      eventLog.record(
          EventLog.Level.WARNING,
          "source_items_replaced",
          LogField.of("from_era", held.era()),
          LogField.of("from_revision", held.revision()),
          LogField.of("era", at.era()),
          LogField.of("revision", at.revision()));
    }
  }

  /**
   * Records changes that cannot be decoded.
   *
   * @param detail description of the failure
   * @param position position of this VM's items
   */
  public void changesUnreadable(String detail, SourcePosition position) {
    counters.add("source.unreadable_changes", 1);
    eventLog.record(
        EventLog.Level.WARNING,
        "source_changes_unreadable",
        LogField.of("detail", detail),
        LogField.of("era", position.era()),
        LogField.of("revision", position.revision()));
  }

  /**
   * Records a failed call; only the first one and those with another reason are logged.
   *
   * @param change what is new about it
   * @param detail description of the failure
   * @param position position of this VM's items
   * @param ageMillis age of the newest confirmation, in milliseconds
   */
  public void failed(
      SourceContact.FailureChange change, String detail, SourcePosition position, long ageMillis) {
    counters.add("source.failures", 1);
    if (change == SourceContact.FailureChange.NEWLY_LOST) {
      eventLog.record(
          EventLog.Level.WARNING,
          "source_lost",
          LogField.of("detail", detail),
          LogField.of("era", position.era()),
          LogField.of("revision", position.revision()),
          LogField.of("age_ms", ageMillis));
    } else if (change == SourceContact.FailureChange.OTHER_FAILURE) {
      // Tells a source that refuses calls from calls that do not leave this VM.
      eventLog.record(EventLog.Level.INFO, "source_failure_changed", LogField.of("detail", detail));
    }
  }

  /**
   * Records that the source answers again.
   *
   * @param position position of this VM's items
   */
  public void regained(SourcePosition position) {
    eventLog.record(
        EventLog.Level.INFO,
        "source_regained",
        LogField.of("era", position.era()),
        LogField.of("revision", position.revision()));
  }

  /**
   * Records items for which there was no room.
   *
   * @param items their number
   * @param maximumBytes maximum size of all items, in bytes
   */
  public void itemsLeftOut(long items, int maximumBytes) {
    counters.add("source.items_left_out", items);
    eventLog.record(
        EventLog.Level.WARNING,
        "source_items_left_out",
        LogField.of("items", items),
        LogField.of("maximum_bytes", maximumBytes));
  }
}
