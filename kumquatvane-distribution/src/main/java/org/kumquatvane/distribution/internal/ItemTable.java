package org.kumquatvane.distribution.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.distribution.ItemRules;
import org.kumquatvane.distribution.SourceItem;
import org.kumquatvane.distribution.SourcePosition;

/**
 * Newest known item of each key. An item is never replaced by one of an older position. Guarded by
 * the lock of the feed.
 *
 * <p>An item of a newer era may come from the copy to which the source returned, and then be older
 * than the known one. Those that {@link EraRetention} recognizes are put aside until they are
 * released, and the known item is kept at their position.
 *
 * <p>The size is bounded, since other writers decide how many items there are: items beyond the
 * maximum size are left out, and of the removed items only the newest are remembered.
 */
public final class ItemTable {
  /** Maximum number of removed items that are remembered; about 1.5 MB. */
  static final int MAXIMUM_REMOVED_ITEMS = 4_096;

  /** Removed items that are kept when the maximum is exceeded, so that this is rare. */
  private static final int REMOVED_ITEMS_KEPT = MAXIMUM_REMOVED_ITEMS / 2;

  private final int maximumBytes;
  private final ItemRules rules;
  private final EraRetention retention;
  private final Map<String, SourceItem> items = new HashMap<>();

  /**
   * Items newer than the position, from the first pages of a read that goes on or has failed, or
   * from a page that is newer than the first one.
   */
  private final Map<String, SourceItem> newerThanPosition = new LinkedHashMap<>();

  private SourcePosition position = SourcePosition.NONE;

  /** Newest position of the removed items that are no longer remembered. */
  private SourcePosition forgottenPosition = SourcePosition.NONE;

  private long sizeBytes;
  private int removedItems;
  private long itemsLeftOut;

  /**
   * Result of a complete response of the source.
   *
   * @param changed items that differ from those known before
   * @param sincePosition items that changed after the position before; a superset of the changed
   *     ones, since some may have been known before they were complete, and since other VMs may
   *     know removed keys that this one does not
   */
  public record Update(List<SourceItem> changed, List<SourceItem> sincePosition) {}

  /**
   * Creates an empty table.
   *
   * @param maximumBytes size beyond which further items are left out
   * @param rules which items are essential, and the order of their values
   */
  public ItemTable(int maximumBytes, ItemRules rules) {
    this.maximumBytes = maximumBytes;
    this.rules = rules;
    retention = new EraRetention(rules);
  }

  /**
   * Returns the position up to which the items are complete.
   *
   * @return the position, or {@link SourcePosition#NONE}
   */
  public SourcePosition position() {
    return position;
  }

  /**
   * Returns the number of items that were left out because the table was full.
   *
   * @return number of items since the start, counted again at each attempt to add one
   */
  public long itemsLeftOut() {
    return itemsLeftOut;
  }

  /**
   * Returns the number of removed items that are remembered.
   *
   * @return number of items
   */
  int removedItems() {
    return removedItems;
  }

  /**
   * Returns the items that are not removed.
   *
   * @return the items
   */
  public List<SourceItem> presentItems() {
    return items.values().stream().filter(item -> item.value().isPresent()).toList();
  }

  /**
   * Returns the items that are not removed at the source, as the source has them.
   *
   * @return the items, with those put aside in place of those that are kept
   */
  public List<SourceItem> sourceItems() {
    return items.values().stream()
        .map(item -> retention.putAside(item.key()).orElse(item))
        .filter(item -> item.value().isPresent())
        .toList();
  }

  /**
   * Returns the items that are kept in place of older ones of the source.
   *
   * @return present and removed items
   */
  public List<SourceItem> retainedItems() {
    return retention.keys().stream()
        .flatMap(key -> Optional.ofNullable(items.get(key)).stream())
        .toList();
  }

  /**
   * Applies some items of an incomplete set.
   *
   * @param part the items
   * @return the items that have changed
   */
  public List<SourceItem> applyPartialSnapshot(List<SourceItem> part) {
    List<SourceItem> changed = new ArrayList<>();
    part.forEach(item -> addIfNewer(changed, item, forgottenPosition));
    forgetOldestRemovals();
    return changed;
  }

  /**
   * Applies a complete set of items; a set older than the current position is ignored.
   *
   * @param all the items
   * @param at position of the set
   * @return the changes
   */
  public Update applySnapshot(List<SourceItem> all, SourcePosition at) {
    if (at.isBefore(position)) {
      return new Update(List.of(), List.of());
    }
    if (!position.isNone() && at.era() > position.era()) {
      retention.begin();
    }
    Set<String> present = new HashSet<>();
    List<SourceItem> changed = new ArrayList<>();
    for (SourceItem item : all) {
      present.add(item.key());
    }
    // Removals come first, so that they make room for new items.
    for (SourceItem known : List.copyOf(items.values())) {
      if (!present.contains(known.key())
          && known.value().isPresent()
          && !known.position().isAfter(at)) {
        addIfNewer(changed, new SourceItem(known.key(), Optional.empty(), at), SourcePosition.NONE);
      }
    }
    retention.forgetAllBut(present);
    all.forEach(item -> addIfNewer(changed, item, SourcePosition.NONE));
    return completeUpTo(at, changed);
  }

  /**
   * Applies changes of the current era.
   *
   * @param changes changed and removed items
   * @param at position up to which they are complete
   * @return the changes
   */
  public Update applyChanges(List<SourceItem> changes, SourcePosition at) {
    List<SourceItem> changed = new ArrayList<>();
    List<SourceItem> unknownRemovals = new ArrayList<>();
    for (SourceItem item : changes) {
      boolean isUnknownRemoval = item.value().isEmpty() && !items.containsKey(item.key());
      if (isUnknownRemoval && item.position().isAfter(position)) {
        unknownRemovals.add(item);
      }
      addIfNewer(changed, item, forgottenPosition);
    }
    Update update = completeUpTo(position.newest(at), changed);
    unknownRemovals.addAll(update.sincePosition());
    return new Update(changed, unknownRemovals);
  }

  /**
   * Takes a complete set of items in place of all that is known, whatever its position.
   *
   * @param all the items
   * @param at position of the set
   * @return the changes
   */
  public Update replaceAll(List<SourceItem> all, SourcePosition at) {
    Map<String, SourceItem> before = new LinkedHashMap<>();
    presentItems().forEach(item -> before.put(item.key(), item));
    items.clear();
    newerThanPosition.clear();
    retention.clear();
    position = SourcePosition.NONE;
    forgottenPosition = SourcePosition.NONE;
    sizeBytes = 0;
    removedItems = 0;
    List<SourceItem> added = new ArrayList<>();
    all.forEach(item -> addIfNewer(added, item, SourcePosition.NONE));
    List<SourceItem> changed = new ArrayList<>();
    for (SourceItem known : before.values()) {
      if (!items.containsKey(known.key())) {
        changed.add(new SourceItem(known.key(), Optional.empty(), at));
      }
    }
    for (SourceItem item : added) {
      @Nullable SourceItem known = before.get(item.key());
      if (known == null || !known.hasSameValue(item)) {
        changed.add(item);
      }
    }
    return completeUpTo(at, changed);
  }

  /**
   * Applies items that another VM keeps in place of older ones of the source.
   *
   * @param kept the items, each at the position of the item that it replaces
   * @return the items that have changed
   */
  public List<SourceItem> applyRetained(List<SourceItem> kept) {
    List<SourceItem> changed = new ArrayList<>();
    for (SourceItem item : kept) {
      @Nullable SourceItem known = items.get(item.key());
      if (known == null && rules.isEssential(item.key()) && item.value().isPresent()) {
        put(item, null);
        changed.add(item);
      } else if (known != null && retention.replaces(item, known)) {
        // A known item that is itself kept is not the source's.
        if (retention.putAside(item.key()).isEmpty()) {
          retention.putAside(known);
        }
        put(item.at(known.position()), known);
        changed.add(items.get(item.key()));
      }
    }
    return changed;
  }

  /**
   * Uses the items that were put aside, except essential ones.
   *
   * @return the items that have changed
   */
  public List<SourceItem> releaseRetained() {
    List<SourceItem> changed = new ArrayList<>();
    for (SourceItem item : retention.release()) {
      put(item, items.get(item.key()));
      changed.add(item);
    }
    return changed;
  }

  private Update completeUpTo(SourcePosition at, List<SourceItem> changed) {
    Map<String, SourceItem> sincePosition = new LinkedHashMap<>(newerThanPosition);
    changed.forEach(item -> sincePosition.put(item.key(), item));
    position = at;
    newerThanPosition.values().removeIf(item -> !item.position().isAfter(at));
    forgetOldestRemovals();
    return new Update(changed, List.copyOf(sincePosition.values()));
  }

  /**
   * Adds an item unless a newer one is known.
   *
   * @param unknownAfter position after which an item without a known predecessor is new; one up to
   *     it may have been removed since, unless it is part of a complete set
   */
  private void addIfNewer(List<SourceItem> changed, SourceItem item, SourcePosition unknownAfter) {
    @Nullable SourceItem known = items.get(item.key());
    if (!isNewer(item, known, unknownAfter)) {
      return;
    }
    if (known != null && retention.keeps(known, item)) {
      retention.putAside(item);
      put(known.at(item.position()), known);
      return;
    }
    retention.forget(item.key());
    if (hasRoomFor(item, known)) {
      // After a change of era all items have new positions, and most of them the same value.
      boolean isSame =
          known != null
              && known.position().era() != item.position().era()
              && known.hasSameValue(item);
      put(item, known);
      if (!isSame) {
        changed.add(item);
      }
      return;
    }
    itemsLeftOut++;
    if (known != null) {
      // The item that was known is no longer valid.
      SourceItem removal = new SourceItem(item.key(), Optional.empty(), item.position());
      put(removal, known);
      changed.add(removal);
    }
  }

  private static boolean isNewer(
      SourceItem item, @Nullable SourceItem known, SourcePosition unknownAfter) {
    if (known == null) {
      return item.value().isPresent() && item.position().isAfter(unknownAfter);
    }
    boolean isRemovalAtSamePosition =
        known.position().equals(item.position())
            && item.value().isEmpty()
            && known.value().isPresent();
    return known.position().isBefore(item.position()) || isRemovalAtSamePosition;
  }

  private boolean hasRoomFor(SourceItem item, @Nullable SourceItem known) {
    return item.value().isEmpty()
        || rules.isEssential(item.key())
        || sizeBytes + item.sizeBytes() - (known == null ? 0 : known.sizeBytes()) <= maximumBytes;
  }

  private void put(SourceItem item, @Nullable SourceItem known) {
    items.put(item.key(), item);
    if (item.position().isAfter(position)) {
      newerThanPosition.put(item.key(), item);
    }
    sizeBytes += item.sizeBytes() - (known == null ? 0 : known.sizeBytes());
    removedItems += item.value().isEmpty() ? 1 : 0;
    removedItems -= known != null && known.value().isEmpty() ? 1 : 0;
    retention.onPut(item, known);
  }

  /** Removals that other VMs have not been told of yet are kept. */
  private void forgetOldestRemovals() {
    if (removedItems <= MAXIMUM_REMOVED_ITEMS) {
      return;
    }
    List<SourceItem> oldest =
        items.values().stream()
            .filter(item -> item.value().isEmpty() && !newerThanPosition.containsKey(item.key()))
            .sorted(Comparator.comparing(SourceItem::position))
            .limit(removedItems - REMOVED_ITEMS_KEPT)
            .toList();
    for (SourceItem removal : oldest) {
      items.remove(removal.key());
      sizeBytes -= removal.sizeBytes();
      removedItems--;
      forgottenPosition = forgottenPosition.newest(removal.position());
      retention.onForgotten(removal.key());
    }
  }
}
