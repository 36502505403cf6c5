package org.kumquatvane.peering.codec;

import java.io.IOException;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.operations.AttemptId;
import org.kumquatvane.operations.Operation;
import org.kumquatvane.operations.OperationBegin;

/** Codec of {@link OperationBegin}. */
public final class OperationBeginCodec implements MessageCodec<OperationBegin> {
  private static final int OPERATION = 1;
  private static final int ATTEMPT = 2;
  private static final int VIEW_DIGEST = 3;

  @Override
  public int type() {
    return 30;
  }

  @Override
  public Class<OperationBegin> messageClass() {
    return OperationBegin.class;
  }

  @Override
  public void write(OperationBegin message, FieldWriter fields) throws IOException {
    fields.writeMap(OPERATION, message.operation(), OperationFields::write);
    fields.writeMap(ATTEMPT, message.attempt(), OperationFields::write);
    fields.writeLong(VIEW_DIGEST, message.viewDigest());
  }

  @Override
  public OperationBegin read(FieldReader fields) throws IOException {
    @Nullable Operation operation = null;
    @Nullable AttemptId attempt = null;
    long viewDigest = 0;
    for (int field = fields.nextField(); field >= 0; field = fields.nextField()) {
      switch (field) {
        case OPERATION -> operation = fields.readMap(OperationFields::readOperation);
        case ATTEMPT -> attempt = fields.readMap(OperationFields::readAttempt);
        case VIEW_DIGEST -> viewDigest = fields.readLong();
        default -> fields.skipValue();
      }
    }
    return new OperationBegin(
        FieldReader.required(OPERATION, operation),
        FieldReader.required(ATTEMPT, attempt),
        viewDigest);
  }
}
