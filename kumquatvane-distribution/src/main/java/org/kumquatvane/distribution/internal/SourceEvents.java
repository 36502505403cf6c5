package org.kumquatvane.distribution.internal;

import org.kumquatvane.core.Counters;
import org.kumquatvane.core.EventLog;
import org.kumquatvane.core.LogField;

/** Counts and logs what happens in the contact with the source. */
public final class SourceEvents {
  private final Counters counters;
  private final EventLog eventLog;

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
   * Records that the source no longer holds the requested changes.
   *
   * @param revision revision of this VM's items
   */
  public void historyLost(long revision) {
    counters.add("source.history_lost", 1);
    eventLog.record(EventLog.Level.INFO, "source_history_lost", LogField.of("revision", revision));
  }

  /**
   * Records changes that cannot be decoded.
   *
   * @param detail description of the failure
   * @param revision revision of this VM's items
   */
  public void changesUnreadable(String detail, long revision) {
    counters.add("source.unreadable_changes", 1);
    eventLog.record(
        EventLog.Level.WARNING,
        "source_changes_unreadable",
        LogField.of("detail", detail),
        LogField.of("revision", revision));
  }

  /**
   * Records a failed call; only the first one and those with another reason are logged.
   *
   * @param change what is new about it
   * @param detail description of the failure
   * @param revision revision of this VM's items
   * @param ageMillis age of the newest confirmation, in milliseconds
   */
  public void failed(
      SourceContact.FailureChange change, String detail, long revision, long ageMillis) {
    counters.add("source.failures", 1);
    if (change == SourceContact.FailureChange.NEWLY_LOST) {
      eventLog.record(
          EventLog.Level.WARNING,
          "source_lost",
          LogField.of("detail", detail),
          LogField.of("revision", revision),
          LogField.of("age_ms", ageMillis));
    } else if (change == SourceContact.FailureChange.OTHER_FAILURE) {
      // Tells a source that refuses calls from calls that do not leave this VM.
      eventLog.record(EventLog.Level.INFO, "source_failure_changed", LogField.of("detail", detail));
    }
  }

  /**
   * Records that the source answers again.
   *
   * @param revision revision of this VM's items
   */
  public void regained(long revision) {
    eventLog.record(EventLog.Level.INFO, "source_regained", LogField.of("revision", revision));
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
