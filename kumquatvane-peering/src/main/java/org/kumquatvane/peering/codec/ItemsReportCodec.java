package org.kumquatvane.peering.codec;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.kumquatvane.distribution.ItemsReport;
import org.kumquatvane.distribution.RetainedItems;
import org.kumquatvane.distribution.SourceItem;
import org.kumquatvane.distribution.SourcePosition;

/** Codec of {@link ItemsReport}. */
public final class ItemsReportCodec implements MessageCodec<ItemsReport> {
  private static final int COMPLETE = 1;
  private static final int FROM_REVISION = 2;
  private static final int REVISION = 3;
  private static final int ITEMS = 4;
  private static final int PART = 5;
  private static final int PARTS = 6;
  private static final int FROM_ERA = 7;
  private static final int ERA = 8;
  private static final int RETAINED = 9;
  private static final int RETAINED_MILLIS = 10;
  private static final int KEY = 1;
  private static final int VALUE = 2;
  private static final int ITEM_REVISION = 3;
  private static final int ITEM_ERA = 4;

  @Override
  public int type() {
    return 51;
  }

  @Override
  public Class<ItemsReport> messageClass() {
    return ItemsReport.class;
  }

  @Override
  public long estimateBytes(ItemsReport message) {
    return Stream.concat(message.items().stream(), message.retained().items().stream())
        .mapToLong(SourceItem::sizeBytes)
        .sum();
  }

  @Override
  public void write(ItemsReport message, FieldWriter fields) throws IOException {
    fields.writeBoolean(COMPLETE, message.complete());
    fields.writeLong(FROM_REVISION, message.from().revision());
    fields.writeLong(REVISION, message.position().revision());
    fields.writeLong(PART, message.part());
    fields.writeLong(PARTS, message.parts());
    fields.writeList(ITEMS, message.items(), ItemsReportCodec::writeItem);
    fields.writeLong(FROM_ERA, message.from().era());
    fields.writeLong(ERA, message.position().era());
    if (!message.retained().items().isEmpty()) {
      fields.writeList(RETAINED, message.retained().items(), ItemsReportCodec::writeItem);
      fields.writeLong(RETAINED_MILLIS, message.retained().remainingMillis());
    }
  }

  private static void writeItem(SourceItem item, FieldWriter fields) throws IOException {
    fields.writeString(KEY, item.key());
    fields.writeLong(ITEM_REVISION, item.position().revision());
    fields.writeLong(ITEM_ERA, item.position().era());
    if (item.value().isPresent()) {
      fields.writeBytes(VALUE, item.value().get());
    }
  }

  @Override
  public ItemsReport read(FieldReader fields) throws IOException {
    boolean complete = false;
    long fromRevision = 0;
    long fromEra = 0;
    long revision = 0;
    long era = 0;
    List<SourceItem> retained = List.of();
    long retainedMillis = 0;
    int part = 0;
    int parts = 1;
    List<SourceItem> items = List.of();
    for (int field = fields.nextField(); field >= 0; field = fields.nextField()) {
      switch (field) {
        case COMPLETE -> complete = fields.readBoolean();
        case FROM_REVISION -> fromRevision = fields.readLong();
        case REVISION -> revision = fields.readLong();
        case FROM_ERA -> fromEra = fields.readLong();
        case ERA -> era = fields.readLong();
        case RETAINED -> retained = fields.readList(ItemsReportCodec::readItem);
        case RETAINED_MILLIS -> retainedMillis = fields.readLong();
        case PART -> part = fields.readInt();
        case PARTS -> parts = fields.readInt();
        case ITEMS -> items = fields.readList(ItemsReportCodec::readItem);
        default -> fields.skipValue();
      }
    }
    return new ItemsReport(
        complete,
        new SourcePosition(fromEra, fromRevision),
        new SourcePosition(era, revision),
        part,
        parts,
        items,
        new RetainedItems(retained, retainedMillis));
  }

  private static SourceItem readItem(FieldReader fields) throws IOException {
    String key = "";
    Optional<byte[]> value = Optional.empty();
    long revision = 0;
    long era = 0;
    for (int field = fields.nextField(); field >= 0; field = fields.nextField()) {
      switch (field) {
        case KEY -> key = fields.readString();
        case VALUE -> value = Optional.of(fields.readBytes());
        case ITEM_REVISION -> revision = fields.readLong();
        case ITEM_ERA -> era = fields.readLong();
        default -> fields.skipValue();
      }
    }
    return new SourceItem(key, value, new SourcePosition(era, revision));
  }
}
