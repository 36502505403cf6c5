package org.kumquatvane.distribution.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.VmId;
import org.kumquatvane.distribution.ItemsReport;
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
   * Splits a report.
   *
   * @param complete whether the list holds all items
   * @param fromRevision revision after which the list contains all changes
   * @param revision revision up to which the list contains all changes
   * @param items changed and removed items
   * @return the parts in the order in which to send them; none if the report is too large
   */
  public static List<ItemsReport> split(
      boolean complete, long fromRevision, long revision, List<SourceItem> items) {
    List<List<SourceItem>> parts = new ArrayList<>();
    List<SourceItem> part = new ArrayList<>();
    parts.add(part);
    long partBytes = 0;
    long totalBytes = 0;
    for (SourceItem item : items) {
      if (!part.isEmpty() && partBytes + item.sizeBytes() > PART_BYTES) {
        part = new ArrayList<>();
        parts.add(part);
        partBytes = 0;
      }
      part.add(item);
      partBytes += item.sizeBytes();
      totalBytes += item.sizeBytes();
    }
    List<ItemsReport> reports = new ArrayList<>();
    for (int i = 0; i < parts.size() && totalBytes <= MAXIMUM_REPORT_BYTES; i++) {
      reports.add(new ItemsReport(complete, fromRevision, revision, i, parts.size(), parts.get(i)));
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
      if (received.values().stream().anyMatch(other -> other.revision() > part.revision())) {
        return Optional.empty();
      }
      forget();
      sender = from;
    }
    if (received.putIfAbsent(part.part(), part) == null) {
      receivedBytes += part.items().stream().mapToLong(SourceItem::sizeBytes).sum();
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
    forget();
    return Optional.of(
        new ItemsReport(part.complete(), part.fromRevision(), part.revision(), 0, 1, items));
  }

  private boolean isSameReport(VmId from, ItemsReport part) {
    return from.equals(sender)
        && received.values().stream()
            .limit(1)
            .allMatch(
                other ->
                    other.parts() == part.parts()
                        && other.complete() == part.complete()
                        && other.fromRevision() == part.fromRevision()
                        && other.revision() == part.revision());
  }

  private void forget() {
    received.clear();
    receivedBytes = 0;
    sender = null;
  }
}
