package org.kumquatvane.peering.codec;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.kumquatvane.distribution.ItemsReport;
import org.kumquatvane.distribution.SourceItem;

/** Codec of {@link ItemsReport}. */
public final class ItemsReportCodec implements MessageCodec<ItemsReport> {
  private static final int COMPLETE = 1;
  private static final int FROM_REVISION = 2;
  private static final int REVISION = 3;
  private static final int ITEMS = 4;
  private static final int PART = 5;
  private static final int PARTS = 6;
  private static final int KEY = 1;
  private static final int VALUE = 2;
  private static final int ITEM_REVISION = 3;

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
    return message.items().stream().mapToLong(SourceItem::sizeBytes).sum();
  }

  @Override
  public void write(ItemsReport message, FieldWriter fields) throws IOException {
    fields.writeBoolean(COMPLETE, message.complete());
    fields.writeLong(FROM_REVISION, message.fromRevision());
    fields.writeLong(REVISION, message.revision());
    fields.writeLong(PART, message.part());
    fields.writeLong(PARTS, message.parts());
    fields.writeList(ITEMS, message.items(), ItemsReportCodec::writeItem);
  }

  private static void writeItem(SourceItem item, FieldWriter fields) throws IOException {
    fields.writeString(KEY, item.key());
    fields.writeLong(ITEM_REVISION, item.revision());
    if (item.value().isPresent()) {
      fields.writeBytes(VALUE, item.value().get());
    }
  }

  @Override
  public ItemsReport read(FieldReader fields) throws IOException {
    boolean complete = false;
    long fromRevision = 0;
    long revision = 0;
    int part = 0;
    int parts = 1;
    List<SourceItem> items = List.of();
    for (int field = fields.nextField(); field >= 0; field = fields.nextField()) {
      switch (field) {
        case COMPLETE -> complete = fields.readBoolean();
        case FROM_REVISION -> fromRevision = fields.readLong();
        case REVISION -> revision = fields.readLong();
        case PART -> part = fields.readInt();
        case PARTS -> parts = fields.readInt();
        case ITEMS -> items = fields.readList(ItemsReportCodec::readItem);
        default -> fields.skipValue();
      }
    }
    return new ItemsReport(complete, fromRevision, revision, part, parts, items);
  }

  private static SourceItem readItem(FieldReader fields) throws IOException {
    String key = "";
    Optional<byte[]> value = Optional.empty();
    long revision = 0;
    for (int field = fields.nextField(); field >= 0; field = fields.nextField()) {
      switch (field) {
        case KEY -> key = fields.readString();
        case VALUE -> value = Optional.of(fields.readBytes());
        case ITEM_REVISION -> revision = fields.readLong();
        default -> fields.skipValue();
      }
    }
    return new SourceItem(key, value, revision);
  }
}
