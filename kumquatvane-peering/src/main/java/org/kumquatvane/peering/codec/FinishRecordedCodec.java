package org.kumquatvane.peering.codec;

import java.io.IOException;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.operations.AttemptId;
import org.kumquatvane.operations.FinishRecorded;

/** Codec of {@link FinishRecorded}. */
public final class FinishRecordedCodec implements MessageCodec<FinishRecorded> {
  private static final int ATTEMPT = 1;

  @Override
  public int type() {
    return 33;
  }

  @Override
  public Class<FinishRecorded> messageClass() {
    return FinishRecorded.class;
  }

  @Override
  public void write(FinishRecorded message, FieldWriter fields) throws IOException {
    fields.writeMap(ATTEMPT, message.attempt(), OperationFields::write);
  }

  @Override
  public FinishRecorded read(FieldReader fields) throws IOException {
    @Nullable AttemptId attempt = null;
    for (int field = fields.nextField(); field >= 0; field = fields.nextField()) {
      switch (field) {
        case ATTEMPT -> attempt = fields.readMap(OperationFields::readAttempt);
        default -> fields.skipValue();
      }
    }
    return new FinishRecorded(FieldReader.required(ATTEMPT, attempt));
  }
}
