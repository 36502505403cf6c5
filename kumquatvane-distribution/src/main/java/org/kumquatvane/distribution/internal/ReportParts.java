package org.kumquatvane.distribution.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.VmId;
import org.kumquatvane.distribution.ItemsReport;
import org.kumquatvane.distribution.RetainedItems;
import org.kumquatvane.distribution.SourceItem;

/**
 * Splits reports into parts that fit into a message, and joins the received parts. Guarded by the
 * lock of the feed.
 */
public final class ReportParts {
  /** Size beyond which a part holds a single item; encoding a part takes several times as much. */
  private static final int PART_BYTES = 128 << 10;

  /**
   * Maximum size of a report. A larger one would not fit into the send buffer of a connection, so
   * its receivers read the source themselves.
   */
  private static final int MAXIMUM_REPORT_BYTES = 3 << 19;

  private static final int MAXIMUM_PARTS = MAXIMUM_REPORT_BYTES / PART_BYTES * 2 + 1;

  /** Received parts of one report by number; the VMs of a failure domain have one reader. */
  private final Map<Integer, ItemsReport> received = new TreeMap<>();

  private @Nullable VmId sender;
  private long receivedBytes;

  /**
   * Splits a report. Items that are kept from an earlier era are in the last part, alone if they do
   * not fit into it.
   *
   * @param report the whole report
   * @return the parts in the order in which to send them; none if the report is too large
   */
  public static List<ItemsReport> split(ItemsReport report) {
    List<List<SourceItem>> parts = new ArrayList<>();
    List<SourceItem> part = new ArrayList<>();
    parts.add(part);
    long partBytes = 0;
    long totalBytes = 0;
    for (SourceItem item : report.items()) {
      if (!part.isEmpty() && partBytes + item.sizeBytes() > PART_BYTES) {
        part = new ArrayList<>();
        parts.add(part);
        partBytes = 0;
      }
      part.add(item);
      partBytes += item.sizeBytes();
      totalBytes += item.sizeBytes();
    }
    RetainedItems retained = report.retained();
    long retainedBytes = retained.items().stream().mapToLong(SourceItem::sizeBytes).sum();
    if (totalBytes + retainedBytes > MAXIMUM_REPORT_BYTES) {
      return List.of();
    }
    if (retainedBytes > 0 && partBytes + retainedBytes > PART_BYTES) {
      parts.add(List.of());
    }
    List<ItemsReport> reports = new ArrayList<>();
    for (int i = 0; i < parts.size(); i++) {
      boolean isLast = i == parts.size() - 1;
      reports.add(
          new ItemsReport(
              report.complete(),
              report.from(),
              report.position(),
              i,
              parts.size(),
              parts.get(i),
              isLast ? retained : RetainedItems.NONE));
    }
    return reports;
  }

  /**
   * Adds a received part. Parts of one report are kept; a part of a newer report replaces them.
   *
   * @param from the sender
   * @param part the part
   * @return the whole report, once all its parts have been added
   */
  public Optional<ItemsReport> join(VmId from, ItemsReport part) {
    if (part.parts() == 1) {
      return Optional.of(part);
    }
    if (!isSameReport(from, part)) {
      if (received.values().stream().anyMatch(other -> other.position().isAfter(part.position()))) {
        return Optional.empty();
      }
      forget();
      sender = from;
    }
    if (received.putIfAbsent(part.part(), part) == null) {
      receivedBytes += part.items().stream().mapToLong(SourceItem::sizeBytes).sum();
      receivedBytes += part.retained().items().stream().mapToLong(SourceItem::sizeBytes).sum();
    }
    if (receivedBytes > MAXIMUM_REPORT_BYTES || received.size() > MAXIMUM_PARTS) {
      forget();
      return Optional.empty();
    }
    if (received.size() < part.parts()) {
      return Optional.empty();
    }
    List<SourceItem> items =
        received.values().stream().flatMap(other -> other.items().stream()).toList();
    RetainedItems retained =
        received.values().stream()
            .map(ItemsReport::retained)
            .filter(kept -> !kept.items().isEmpty())
            .findFirst()
            .orElse(RetainedItems.NONE);
    forget();
    return Optional.of(
        new ItemsReport(part.complete(), part.from(), part.position(), 0, 1, items, retained));
  }

  private boolean isSameReport(VmId from, ItemsReport part) {
    return from.equals(sender)
        && received.values().stream()
            .limit(1)
            .allMatch(
                other ->
                    other.parts() == part.parts()
                        && other.complete() == part.complete()
                        && other.from().equals(part.from())
                        && other.position().equals(part.position()));
  }

  private void forget() {
    received.clear();
    receivedBytes = 0;
    sender = null;
  }
}
