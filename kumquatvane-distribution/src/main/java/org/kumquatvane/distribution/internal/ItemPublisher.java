package org.kumquatvane.distribution.internal;

import java.time.Duration;
import java.util.List;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.OrderedEffects;
import org.kumquatvane.distribution.ItemListener;
import org.kumquatvane.distribution.SourceItem;

/**
 * Decides from when on items are passed to the listener. Guarded by the lock of the feed.
 *
 * <p>A first read may lag by seconds, and a restarted VM must not use a key that was withdrawn or
 * an instance that left meanwhile, so the first items wait for their confirmation.
 */
public final class ItemPublisher {
  /** Time for which the first items wait for their confirmation, which takes one fast call. */
  private static final Duration CONFIRMATION_LIMIT = Duration.ofMillis(100);

  private final ItemTable table;
  private final SourceContact contact;
  private final ItemListener listener;
  private final OrderedEffects effects;
  private final Clock clock;
  private boolean isConfirmed;
  private boolean isWithheld;
  private boolean usesUnconfirmed;
  private Deadline withheldUntil;

  /**
   * Creates a publisher that has passed on nothing.
   *
   * @param table items of this VM
   * @param contact contact with the source
   * @param listener notified of changed items
   * @param effects runs the notifications without the lock
   * @param clock clock of the deadlines
   */
  public ItemPublisher(
      ItemTable table,
      SourceContact contact,
      ItemListener listener,
      OrderedEffects effects,
      Clock clock) {
    this.table = table;
    this.contact = contact;
    this.listener = listener;
    this.effects = effects;
    this.clock = clock;
    withheldUntil = new Deadline(clock.monotonicNanos());
  }

  /**
   * Returns whether the items have been confirmed once.
   *
   * @return whether they were up to date at some time
   */
  public boolean isConfirmed() {
    return isConfirmed;
  }

  /**
   * Passes on items that are known to be up to date; the first time these are all items.
   *
   * @param changed the changed items
   */
  public void publishConfirmed(List<SourceItem> changed) {
    boolean isFirst = !isConfirmed && !usesUnconfirmed;
    isConfirmed = true;
    isWithheld = false;
    publish(isFirst ? table.presentItems() : changed);
  }

  /**
   * Passes on items that may not be up to date, if such items are used.
   *
   * @param changed the changed items
   */
  public void publishUnconfirmed(List<SourceItem> changed) {
    if (isConfirmed || usesUnconfirmed) {
      publish(changed);
    }
  }

  /**
   * Passes on the items of one page, or withholds them for a short time.
   *
   * @param changed the changed items
   */
  public void publishPage(List<SourceItem> changed) {
    if (!isConfirmed && !usesUnconfirmed && !isWithheld) {
      isWithheld = true;
      withheldUntil = Deadline.after(clock, CONFIRMATION_LIMIT);
    }
    publishUnconfirmed(changed);
  }

  /**
   * Uses the first pages without a confirmation while a long read goes on, since a VM without items
   * rejects all requests. After a failed call the confirmation is awaited, however long it takes.
   */
  public void useWithheldItems() {
    if (isWithheld && !contact.isLost() && withheldUntil.isReached(clock)) {
      isWithheld = false;
      usesUnconfirmed = true;
      publish(table.presentItems());
    }
  }

  private void publish(List<SourceItem> changed) {
    if (!changed.isEmpty()) {
      boolean recovered = contact.isRecovering();
      effects.add(() -> listener.itemsChanged(changed, recovered));
    }
  }
}
