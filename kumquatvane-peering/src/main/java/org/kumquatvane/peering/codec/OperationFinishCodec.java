package org.kumquatvane.peering.codec;

import java.io.IOException;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.operations.AttemptId;
import org.kumquatvane.operations.Operation;
import org.kumquatvane.operations.OperationFinish;
import org.kumquatvane.operations.OperationResult;

/** Codec of {@link OperationFinish}. */
public final class OperationFinishCodec implements MessageCodec<OperationFinish> {
  private static final int OPERATION = 1;
  private static final int ATTEMPT = 2;
  private static final int RESULT = 3;

  @Override
  public int type() {
    return 32;
  }

  @Override
  public Class<OperationFinish> messageClass() {
    return OperationFinish.class;
  }

  @Override
  public void write(OperationFinish message, FieldWriter fields) throws IOException {
    fields.writeMap(OPERATION, message.operation(), OperationFields::write);
    fields.writeMap(ATTEMPT, message.attempt(), OperationFields::write);
    fields.writeMap(RESULT, message.result(), OperationFields::write);
  }

  @Override
  public OperationFinish read(FieldReader fields) throws IOException {
    @Nullable Operation operation = null;
    @Nullable AttemptId attempt = null;
    @Nullable OperationResult result = null;
    for (int field = fields.nextField(); field >= 0; field = fields.nextField()) {
      switch (field) {
        case OPERATION -> operation = fields.readMap(OperationFields::readOperation);
        case ATTEMPT -> attempt = fields.readMap(OperationFields::readAttempt);
        case RESULT -> result = fields.readMap(OperationFields::readResult);
        default -> fields.skipValue();
      }
    }
    return new OperationFinish(
        FieldReader.required(OPERATION, operation),
        FieldReader.required(ATTEMPT, attempt),
        FieldReader.required(RESULT, result));
  }
}
