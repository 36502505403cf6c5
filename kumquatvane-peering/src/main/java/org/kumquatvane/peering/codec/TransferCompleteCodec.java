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
    fields.integer(ROUND, message.round());
    fields.integer(PARTS, message.parts());
    @Nullable EndedView previous = message.previous();
    if (previous != null) {
      fields.nested(PREVIOUS, previous, OperationFields::write);
    }
    fields.integer(HORIZON_MILLIS, message.horizonMillis());
    fields.integer(STARTED_MILLIS, message.startedMillis());
  }

  @Override
  public TransferComplete read(FieldReader fields) throws IOException {
    long round = 0;
    int parts = 0;
    @Nullable EndedView previous = null;
    long horizonMillis = 0;
    long startedMillis = 0;
    for (int field = fields.next(); field >= 0; field = fields.next()) {
      switch (field) {
        case ROUND -> round = fields.integer();
        case PARTS -> parts = fields.smallInteger();
        case PREVIOUS -> previous = fields.nested(OperationFields::readEndedView);
        case HORIZON_MILLIS -> horizonMillis = fields.integer();
        case STARTED_MILLIS -> startedMillis = fields.integer();
        default -> fields.skip();
      }
    }
    return new TransferComplete(round, parts, previous, horizonMillis, startedMillis);
  }
}
