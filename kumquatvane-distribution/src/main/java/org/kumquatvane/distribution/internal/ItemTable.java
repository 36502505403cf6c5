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
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.distribution.SourceItem;

/**
 * Newest known item of each key. An item is never replaced by an older revision. Guarded by the
 * lock of the feed.
 *
 * <p>The size is bounded, since other writers decide how many items there are: items beyond the
 * maximum size are left out, and of the removed items only the newest are remembered.
 */
public final class ItemTable {
  /** Revision before the first complete set. */
  public static final long NO_REVISION = -1;

  /** Maximum number of removed items that are remembered; about 1.5 MB. */
  static final int MAXIMUM_REMOVED_ITEMS = 4_096;

  /** Removed items that are kept when the maximum is exceeded, so that this is rare. */
  private static final int REMOVED_ITEMS_KEPT = MAXIMUM_REMOVED_ITEMS / 2;

  private final int maximumBytes;
  private final Predicate<String> isEssential;
  private final Map<String, SourceItem> items = new HashMap<>();

  /**
   * Items newer than the revision, from the first pages of a read that goes on or has failed, or
   * from a page that is newer than the first one.
   */
  private final Map<String, SourceItem> newerThanRevision = new LinkedHashMap<>();

  private long revision = NO_REVISION;

  /** Highest revision of the removed items that are no longer remembered. */
  private long forgottenRevision = NO_REVISION;

  private long sizeBytes;
  private int removedItems;
  private long itemsLeftOut;

  /**
   * Result of a complete response of the source.
   *
   * @param changed items that differ from those known before
   * @param sinceRevision items that changed after the revision before; a superset of the changed
   *     ones, since some may have been known before they were complete
   */
  public record Update(List<SourceItem> changed, List<SourceItem> sinceRevision) {}

  /**
   * Creates an empty table.
   *
   * @param maximumBytes size beyond which further items are left out
   * @param isEssential keys of the items that are never left out
   */
  public ItemTable(int maximumBytes, Predicate<String> isEssential) {
    this.maximumBytes = maximumBytes;
    this.isEssential = isEssential;
  }

  /**
   * Returns the revision up to which the items are complete.
   *
   * @return the revision, or {@link #NO_REVISION}
   */
  public long revision() {
    return revision;
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
   * Applies some items of an incomplete set.
   *
   * @param part the items
   * @return the items that have changed
   */
  public List<SourceItem> applyPartialSnapshot(List<SourceItem> part) {
    List<SourceItem> changed = new ArrayList<>();
    part.forEach(item -> addIfNewer(changed, item, forgottenRevision));
    forgetOldestRemovals();
    return changed;
  }

  /**
   * Applies a complete set of items; a set older than the current revision is ignored.
   *
   * @param all the items
   * @param at revision of the set
   * @return the changes
   */
  public Update applySnapshot(List<SourceItem> all, long at) {
    if (at < revision) {
      return new Update(List.of(), List.of());
    }
    Set<String> present = new HashSet<>();
    List<SourceItem> changed = new ArrayList<>();
    for (SourceItem item : all) {
      present.add(item.key());
    }
    // Removals come first, so that they make room for new items.
    for (SourceItem known : List.copyOf(items.values())) {
      if (!present.contains(known.key()) && known.value().isPresent() && known.revision() <= at) {
        addIfNewer(changed, new SourceItem(known.key(), Optional.empty(), at), NO_REVISION);
      }
    }
    all.forEach(item -> addIfNewer(changed, item, NO_REVISION));
    return completeUpTo(at, changed);
  }

  /**
   * Applies changes.
   *
   * @param changes changed and removed items
   * @param at revision up to which they are complete
   * @return the changes
   */
  public Update applyChanges(List<SourceItem> changes, long at) {
    List<SourceItem> changed = new ArrayList<>();
    changes.forEach(item -> addIfNewer(changed, item, forgottenRevision));
    return completeUpTo(Math.max(revision, at), changed);
  }

  private Update completeUpTo(long at, List<SourceItem> changed) {
    Map<String, SourceItem> sinceRevision = new LinkedHashMap<>(newerThanRevision);
    changed.forEach(item -> sinceRevision.put(item.key(), item));
    revision = at;
    newerThanRevision.values().removeIf(item -> item.revision() <= at);
    forgetOldestRemovals();
    return new Update(changed, List.copyOf(sinceRevision.values()));
  }

  /**
   * Adds an item unless a newer one is known.
   *
   * @param unknownAfter revision after which an item without a known predecessor is new; one up to
   *     it may have been removed since, unless it is part of a complete set
   */
  private void addIfNewer(List<SourceItem> changed, SourceItem item, long unknownAfter) {
    @Nullable SourceItem known = items.get(item.key());
    boolean sameRevisionRemoved =
        known != null && known.revision() == item.revision() && item.value().isEmpty();
    boolean isNewer =
        known == null
            ? item.value().isPresent() && item.revision() > unknownAfter
            : known.revision() < item.revision()
                || (sameRevisionRemoved && known.value().isPresent());
    if (isNewer && hasRoomFor(item, known)) {
      put(item, known);
      changed.add(item);
    } else if (isNewer) {
      itemsLeftOut++;
      if (known != null) {
        // The item that was known is no longer valid.
        SourceItem removal = new SourceItem(item.key(), Optional.empty(), item.revision());
        put(removal, known);
        changed.add(removal);
      }
    }
  }

  private boolean hasRoomFor(SourceItem item, @Nullable SourceItem known) {
    return item.value().isEmpty()
        || isEssential.test(item.key())
        || sizeBytes + item.sizeBytes() - (known == null ? 0 : known.sizeBytes()) <= maximumBytes;
  }

  private void put(SourceItem item, @Nullable SourceItem known) {
    items.put(item.key(), item);
    if (item.revision() > revision) {
      newerThanRevision.put(item.key(), item);
    }
    sizeBytes += item.sizeBytes() - (known == null ? 0 : known.sizeBytes());
    removedItems += item.value().isEmpty() ? 1 : 0;
    removedItems -= known != null && known.value().isEmpty() ? 1 : 0;
  }

  /** Removals that other VMs have not been told of yet are kept. */
  private void forgetOldestRemovals() {
    if (removedItems <= MAXIMUM_REMOVED_ITEMS) {
      return;
    }
    List<SourceItem> oldest =
        items.values().stream()
            .filter(item -> item.value().isEmpty() && !newerThanRevision.containsKey(item.key()))
            .sorted(Comparator.comparingLong(SourceItem::revision))
            .limit(removedItems - REMOVED_ITEMS_KEPT)
            .toList();
    for (SourceItem removal : oldest) {
      items.remove(removal.key());
      sizeBytes -= removal.sizeBytes();
      removedItems--;
      forgottenRevision = Math.max(forgottenRevision, removal.revision());
    }
  }
}
