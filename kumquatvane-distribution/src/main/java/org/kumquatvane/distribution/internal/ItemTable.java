package org.kumquatvane.distribution.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.distribution.SourceItem;

/**
 * Newest known item of each key. An item is never replaced by an older revision. Guarded by the
 * lock of the feed.
 */
public final class ItemTable {
  /** Revision before the first complete set. */
  public static final long NO_REVISION = -1;

  private final Map<String, SourceItem> items = new HashMap<>();

  /**
   * Items newer than the revision, from the first pages of a read that goes on or has failed, or
   * from a page that is newer than the first one.
   */
  private final Map<String, SourceItem> newerThanRevision = new LinkedHashMap<>();

  private long revision = NO_REVISION;

  /**
   * Result of a complete response of the source.
   *
   * @param changed items that differ from those known before
   * @param sinceRevision items that changed after the revision before; a superset of the changed
   *     ones, since some may have been known before they were complete
   */
  public record Update(List<SourceItem> changed, List<SourceItem> sinceRevision) {}

  /**
   * Returns the revision up to which the items are complete.
   *
   * @return the revision, or {@link #NO_REVISION}
   */
  public long revision() {
    return revision;
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
    part.forEach(item -> addIfNewer(changed, item));
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
      addIfNewer(changed, item);
    }
    for (SourceItem known : List.copyOf(items.values())) {
      if (!present.contains(known.key()) && known.value().isPresent() && known.revision() <= at) {
        addIfNewer(changed, new SourceItem(known.key(), Optional.empty(), at));
      }
    }
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
    changes.forEach(item -> addIfNewer(changed, item));
    return completeUpTo(Math.max(revision, at), changed);
  }

  private Update completeUpTo(long at, List<SourceItem> changed) {
    Map<String, SourceItem> sinceRevision = new LinkedHashMap<>(newerThanRevision);
    changed.forEach(item -> sinceRevision.put(item.key(), item));
    revision = at;
    newerThanRevision.values().removeIf(item -> item.revision() <= at);
    return new Update(changed, List.copyOf(sinceRevision.values()));
  }

  private void addIfNewer(List<SourceItem> changed, SourceItem item) {
    @Nullable SourceItem known = items.get(item.key());
    boolean sameRevisionRemoved =
        known != null && known.revision() == item.revision() && item.value().isEmpty();
    if (known == null
        ? item.value().isPresent()
        : known.revision() < item.revision()
            || (sameRevisionRemoved && known.value().isPresent())) {
      items.put(item.key(), item);
      if (item.revision() > revision) {
        newerThanRevision.put(item.key(), item);
      }
      changed.add(item);
    }
  }
}
