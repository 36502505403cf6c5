package org.kumquatvane.peering.codec;

import java.io.IOException;
import java.util.List;
import org.kumquatvane.operations.OperationRecord;
import org.kumquatvane.operations.OperationTransfer;

/** Codec of {@link OperationTransfer}. */
public final class OperationTransferCodec implements MessageCodec<OperationTransfer> {
  private static final int ROUND = 1;
  private static final int PART = 2;
  private static final int RECORDS = 3;

  @Override
  public int type() {
    return 35;
  }

  @Override
  public Class<OperationTransfer> messageClass() {
    return OperationTransfer.class;
  }

  @Override
  public void write(OperationTransfer message, FieldWriter fields) throws IOException {
    fields.integer(ROUND, message.round());
    fields.integer(PART, message.part());
    fields.list(RECORDS, message.records(), OperationFields::write);
  }

  @Override
  public OperationTransfer read(FieldReader fields) throws IOException {
    long round = 0;
    int part = 0;
    List<OperationRecord> records = List.of();
    for (int field = fields.next(); field >= 0; field = fields.next()) {
      switch (field) {
        case ROUND -> round = fields.integer();
        case PART -> part = fields.smallInteger();
        case RECORDS -> records = fields.list(OperationFields::readRecord);
        default -> fields.skip();
      }
    }
    return new OperationTransfer(round, part, records);
  }
}
