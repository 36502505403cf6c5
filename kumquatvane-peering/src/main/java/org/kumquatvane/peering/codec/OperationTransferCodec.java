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
    fields.writeLong(ROUND, message.round());
    fields.writeLong(PART, message.part());
    fields.writeList(RECORDS, message.records(), OperationFields::write);
  }

  @Override
  public OperationTransfer read(FieldReader fields) throws IOException {
    long round = 0;
    int part = 0;
    List<OperationRecord> records = List.of();
    for (int field = fields.nextField(); field >= 0; field = fields.nextField()) {
      switch (field) {
        case ROUND -> round = fields.readLong();
        case PART -> part = fields.readInt();
        case RECORDS -> records = fields.readList(OperationFields::readRecord);
        default -> fields.skipValue();
      }
    }
    return new OperationTransfer(round, part, records);
  }
}
