package org.kumquatvane.peering.codec;

import java.io.IOException;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.operations.EndedView;
import org.kumquatvane.operations.TransferComplete;

/** Codec of {@link TransferComplete}. */
public final class TransferCompleteCodec implements MessageCodec<TransferComplete> {
  private static final int ROUND = 1;
  private static final int PARTS = 2;
  private static final int PREVIOUS = 3;
  private static final int HORIZON_MILLIS = 4;
  private static final int STARTED_MILLIS = 5;

  @Override
  public int type() {
    return 36;
  }

  @Override
  public Class<TransferComplete> messageClass() {
    return TransferComplete.class;
  }

  @Override
  public void write(TransferComplete message, FieldWriter fields) throws IOException {
    fields.writeLong(ROUND, message.round());
    fields.writeLong(PARTS, message.parts());
    @Nullable EndedView previous = message.previous();
    if (previous != null) {
      fields.writeMap(PREVIOUS, previous, OperationFields::write);
    }
    fields.writeLong(HORIZON_MILLIS, message.horizonMillis());
    fields.writeLong(STARTED_MILLIS, message.startedMillis());
  }

  @Override
  public TransferComplete read(FieldReader fields) throws IOException {
    long round = 0;
    int parts = 0;
    @Nullable EndedView previous = null;
    long horizonMillis = 0;
    long startedMillis = 0;
    for (int field = fields.nextField(); field >= 0; field = fields.nextField()) {
      switch (field) {
        case ROUND -> round = fields.readLong();
        case PARTS -> parts = fields.readInt();
        case PREVIOUS -> previous = fields.readMap(OperationFields::readEndedView);
        case HORIZON_MILLIS -> horizonMillis = fields.readLong();
        case STARTED_MILLIS -> startedMillis = fields.readLong();
        default -> fields.skipValue();
      }
    }
    return new TransferComplete(round, parts, previous, horizonMillis, startedMillis);
  }
}
