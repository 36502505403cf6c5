package org.kumquatvane.peering.codec;

import java.io.IOException;
import org.kumquatvane.distribution.ItemsInquiry;
import org.kumquatvane.distribution.SourcePosition;

/** Codec of {@link ItemsInquiry}. */
public final class ItemsInquiryCodec implements MessageCodec<ItemsInquiry> {
  private static final int KNOWN_REVISION = 1;
  private static final int KNOWN_ERA = 2;

  @Override
  public int type() {
    return 52;
  }

  @Override
  public Class<ItemsInquiry> messageClass() {
    return ItemsInquiry.class;
  }

  @Override
  public void write(ItemsInquiry message, FieldWriter fields) throws IOException {
    fields.writeLong(KNOWN_REVISION, message.known().revision());
    fields.writeLong(KNOWN_ERA, message.known().era());
  }

  @Override
  public ItemsInquiry read(FieldReader fields) throws IOException {
    long knownRevision = SourcePosition.NONE.revision();
    long knownEra = SourcePosition.NONE.era();
    for (int field = fields.nextField(); field >= 0; field = fields.nextField()) {
      switch (field) {
        case KNOWN_REVISION -> knownRevision = fields.readLong();
        case KNOWN_ERA -> knownEra = fields.readLong();
        default -> fields.skipValue();
      }
    }
    return new ItemsInquiry(new SourcePosition(knownEra, knownRevision));
  }
}
