package org.kumquatvane.distribution.internal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.kumquatvane.distribution.SourceItem;
import org.kumquatvane.distribution.SourcePosition;

/** Guards against a table whose size is decided by those who write, grow and remove items. */
class ItemTableSizeTest {
  private static final int MAXIMUM_BYTES = 1 << 20;
  private static final String ESSENTIAL = "op/config";

  private final ItemTable table = new ItemTable(MAXIMUM_BYTES, new KeyRules(ESSENTIAL));
  private long revision;

  private static SourcePosition at(long revision) {
    return new SourcePosition(1, revision);
  }

  private void put(String key, int valueBytes) {
    SourceItem item = new SourceItem(key, Optional.of(new byte[valueBytes]), at(++revision));
    table.applyChanges(List.of(item), at(revision));
  }

  private void remove(String key) {
    table.applyChanges(
        List.of(new SourceItem(key, Optional.empty(), at(++revision))), at(revision));
  }

  private long presentBytes() {
    return table.presentItems().stream().mapToLong(SourceItem::sizeBytes).sum();
  }

  private boolean isPresent(String key) {
    return table.presentItems().stream().anyMatch(item -> item.key().equals(key));
  }

  @ParameterizedTest
  @CsvSource({"20000, 100, 100", "20000, 1, 1000", "300, 1, 500000", "3, 900000, 10"})
  void itemsBeyondMaximumSizeAreLeftOut(int items, int bytes, int laterBytes) {
    for (int i = 0; i < items; i++) {
      put("servers/i-" + i, bytes);
    }
    for (int i = 0; i < items; i++) {
      put("servers/i-" + i, laterBytes);
    }
    assertTrue(presentBytes() <= MAXIMUM_BYTES, "bytes: " + presentBytes());
    assertTrue(table.itemsLeftOut() > 0);
    put(ESSENTIAL, 900_000);
    assertTrue(isPresent(ESSENTIAL));
  }

  /** A value that no longer has room must not stay in use with its earlier content. */
  @Test
  void replacedItemWithoutRoomIsRemoved() {
    put("servers/i-1", 10);
    put("servers/i-2", MAXIMUM_BYTES - 1_000);
    put("servers/i-1", 5_000);
    assertFalse(isPresent("servers/i-1"));
    remove("servers/i-2");
    put("servers/i-1", 5_000);
    assertTrue(isPresent("servers/i-1"));
  }

  /** Items that come and go leave no trace that grows, and none of them comes back. */
  @Test
  void removedItemsAreForgottenButNotRestored() {
    for (int i = 0; i < 10 * ItemTable.MAXIMUM_REMOVED_ITEMS; i++) {
      put("servers/i-" + i, 10);
      remove("servers/i-" + i);
    }
    assertTrue(table.removedItems() <= ItemTable.MAXIMUM_REMOVED_ITEMS);
    for (long old = 1; old < revision; old += 2) {
      String key = "servers/i-" + old / 2;
      table.applyChanges(
          List.of(new SourceItem(key, Optional.of(new byte[10]), at(old))), at(revision));
    }
    assertEquals(List.of(), table.presentItems());
  }
}
