package org.kumquatvane.distribution.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.distribution.ItemRules;
import org.kumquatvane.distribution.SourceItem;
import org.kumquatvane.distribution.WriterOrder;

/**
 * Decides which known items outlast a return of the source to an older copy, and holds the items of
 * the source that are put aside meanwhile. Guarded by the lock of the feed.
 *
 * <p>The order that a writer gives its own values tells the old from the new, because revisions are
 * given out again. Essential items are kept until their writer writes the same or a newer value;
 * others also end with {@link #release}.
 */
final class EraRetention {
  private final ItemRules rules;

  /** Items of the source by key that are put aside. */
  private final Map<String, SourceItem> putAside = new LinkedHashMap<>();

  /** Order of the last value of each removed key, where it is known. */
  private final Map<String, WriterOrder> lastOrders = new HashMap<>();

  private boolean isActive;

  EraRetention(ItemRules rules) {
    this.rules = rules;
  }

  /** Begins to keep items, because the source has returned from a copy. */
  void begin() {
    isActive = true;
  }

  /** Returns the item of the source that is put aside. */
  Optional<SourceItem> putAside(String key) {
    return Optional.ofNullable(putAside.get(key));
  }

  /** Returns the keys of the items that are kept. */
  Set<String> keys() {
    return putAside.keySet();
  }

  /**
   * Returns whether a known item is kept although the source has another one at a later position.
   */
  boolean keeps(SourceItem known, SourceItem item) {
    boolean isEssential = rules.isEssential(item.key());
    boolean mayBeOlder =
        putAside.containsKey(item.key())
            || (item.position().era() > known.position().era() && (isActive || isEssential));
    if (!mayBeOlder) {
      return false;
    }
    if (item.value().isEmpty()) {
      return isEssential && known.value().isPresent();
    }
    return isNewerValue(known, item);
  }

  /** Returns whether an item that another VM keeps replaces the known one of the source. */
  boolean replaces(SourceItem kept, SourceItem known) {
    boolean isSameItem = kept.position().equals(known.position());
    if (!isSameItem && !rules.isEssential(kept.key())) {
      return false;
    }
    if (kept.value().isEmpty()) {
      return isSameItem && known.value().isPresent();
    }
    return known.value().isPresent() && isNewerValue(kept, known);
  }

  private boolean isNewerValue(SourceItem first, SourceItem second) {
    Optional<WriterOrder> firstOrder = order(first);
    Optional<WriterOrder> secondOrder = order(second);
    if (firstOrder.isEmpty() || secondOrder.isEmpty()) {
      return false;
    }
    int difference = firstOrder.get().compareTo(secondOrder.get());
    // A removal follows the last value.
    return first.value().isEmpty() ? difference >= 0 : difference > 0;
  }

  private Optional<WriterOrder> order(SourceItem item) {
    return item.value().isPresent()
        ? rules.writerOrder(item.key(), item.value().get())
        : Optional.ofNullable(lastOrders.get(item.key()));
  }

  /** Puts an item of the source aside. */
  void putAside(SourceItem item) {
    putAside.put(item.key(), item);
  }

  /** Ends the keeping of an item, because a newer one has come. */
  void forget(String key) {
    putAside.remove(key);
  }

  /** Ends the keeping of removed items that the source does not have either. */
  void forgetAllBut(Set<String> present) {
    putAside.keySet().removeIf(key -> !present.contains(key) && !rules.isEssential(key));
  }

  /**
   * Ends the keeping of all items but essential ones.
   *
   * @return the items that were put aside
   */
  List<SourceItem> release() {
    isActive = false;
    List<SourceItem> released = new ArrayList<>();
    putAside
        .values()
        .removeIf(
            item -> {
              boolean isReleased = !rules.isEssential(item.key());
              if (isReleased) {
                released.add(item);
              }
              return isReleased;
            });
    return released;
  }

  /** Records a change of the table. */
  void onPut(SourceItem item, @Nullable SourceItem known) {
    if (item.value().isPresent()) {
      lastOrders.remove(item.key());
    } else if (known != null && known.value().isPresent()) {
      rules
          .writerOrder(known.key(), known.value().get())
          .ifPresentOrElse(
              order -> lastOrders.put(known.key(), order), () -> lastOrders.remove(known.key()));
    }
  }

  /** Records that a removed key is no longer remembered. */
  void onForgotten(String key) {
    lastOrders.remove(key);
    putAside.remove(key);
  }

  /** Forgets everything. */
  void clear() {
    putAside.clear();
    lastOrders.clear();
    isActive = false;
  }
}
