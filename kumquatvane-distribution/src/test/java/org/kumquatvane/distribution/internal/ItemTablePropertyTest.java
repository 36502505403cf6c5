package org.kumquatvane.distribution.internal;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.kumquatvane.distribution.ItemRules;
import org.kumquatvane.distribution.SourceItem;
import org.kumquatvane.distribution.SourcePosition;

/**
 * Guards against a report to other VMs that lacks a change although it claims to be complete,
 * whichever reads in pages, failures and watches came before it.
 */
class ItemTablePropertyTest {
  private static final int KEYS = 6;
  private static final int PAGE_KEYS = 2;

  private final Map<String, SourceItem> source = new TreeMap<>();
  private long sourceRevision;
  private final ItemTable reader = new ItemTable(Integer.MAX_VALUE, ItemRules.KEEP_ALL);
  private final ItemTable other = new ItemTable(Integer.MAX_VALUE, ItemRules.KEEP_ALL);

  @Property(tries = 500, seed = "30")
  void otherVmsKnowAllChangesUpToReportedRevision(
      @ForAll @Size(max = 40) List<@IntRange(min = 0, max = 99) Integer> steps) {
    change(0);
    deliver(reader.position(), reader.applySnapshot(present(source), at(sourceRevision)));
    for (int step : steps) {
      int detail = step / 5;
      switch (step % 5) {
        case 0, 1 -> change(detail);
        case 2 -> watch();
        case 3 -> readInPages(detail, false);
        default -> readInPages(detail, true);
      }
    }
    watch();
    assertEquals(values(source.values()), values(reader.presentItems()));
    assertEquals(values(source.values()), values(other.presentItems()));
  }

  private static SourcePosition at(long revision) {
    return new SourcePosition(1, revision);
  }

  private void change(int detail) {
    String key = "key-" + detail % KEYS;
    Optional<byte[]> value = detail < 2 * KEYS ? Optional.of(new byte[0]) : Optional.empty();
    source.put(key, new SourceItem(key, value, at(++sourceRevision)));
  }

  private void watch() {
    SourcePosition from = reader.position();
    List<SourceItem> changes =
        source.values().stream().filter(item -> item.position().isAfter(from)).toList();
    deliver(from, reader.applyChanges(changes, at(sourceRevision)));
  }

  /** Reads page by page while items change; a failing read ends before its last page. */
  private void readInPages(int detail, boolean fails) {
    SourcePosition at = at(sourceRevision);
    List<SourceItem> read = new ArrayList<>();
    for (int page = 0; page < KEYS / PAGE_KEYS; page++) {
      int first = page * PAGE_KEYS;
      List<SourceItem> items =
          present(source).stream()
              .filter(item -> item.key().compareTo("key-" + first) >= 0)
              .filter(item -> item.key().compareTo("key-" + (first + PAGE_KEYS)) < 0)
              .toList();
      read.addAll(items);
      if (first + PAGE_KEYS < KEYS) {
        reader.applyPartialSnapshot(items);
        change(detail + page);
      } else if (!fails) {
        SourcePosition from = reader.position();
        deliver(from, reader.applySnapshot(read, at));
      }
    }
  }

  private void deliver(SourcePosition from, ItemTable.Update update) {
    if (from.isAfter(other.position())) {
      throw new IllegalStateException("a report was left out");
    }
    other.applyChanges(update.sincePosition(), reader.position());
  }

  private static List<SourceItem> present(Map<String, SourceItem> items) {
    return items.values().stream().filter(item -> item.value().isPresent()).toList();
  }

  private static Map<String, SourcePosition> values(Iterable<SourceItem> items) {
    List<SourceItem> list = new ArrayList<>();
    items.forEach(list::add);
    return list.stream()
        .filter(item -> item.value().isPresent())
        .collect(
            Collectors.toMap(
                SourceItem::key, SourceItem::position, SourcePosition::newest, TreeMap::new));
  }
}
