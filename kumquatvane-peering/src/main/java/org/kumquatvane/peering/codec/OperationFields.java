package org.kumquatvane.peering.codec;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.kumquatvane.core.FailureDomain;
import org.kumquatvane.core.VmId;
import org.kumquatvane.core.WorkspaceId;
import org.kumquatvane.operations.AttemptId;
import org.kumquatvane.operations.EndedView;
import org.kumquatvane.operations.HolderReply;
import org.kumquatvane.operations.Operation;
import org.kumquatvane.operations.OperationRecord;
import org.kumquatvane.operations.OperationResult;
import org.kumquatvane.operations.RecordedHeader;
import org.kumquatvane.operations.RecordedResponse;
import org.kumquatvane.operations.ViewMember;

/** Encodes and decodes values that several messages of the operations module share. */
final class OperationFields {
  private static final byte[] EMPTY_BYTES = {};

  /** Kinds of a result or of a holder's reply; numbers are never reused. */
  private static final int FINISHED = 1;

  private static final int FINISHED_WITHOUT_RESPONSE = 2;
  private static final int NOT_RUN = 3;
  private static final int UNKNOWN = 4;
  private static final int GRANTED = 5;
  private static final int IN_PROGRESS = 6;
  private static final int ENDED = 7;
  private static final int CONFLICT = 8;

  private OperationFields() {}

  static void write(Operation operation, FieldWriter fields) throws IOException {
    fields.writeString(1, operation.workspace().value());
    fields.writeString(2, operation.idempotencyKey());
    fields.writeString(3, operation.requestDigest());
  }

  static Operation readOperation(FieldReader fields) throws IOException {
    String workspace = "";
    String key = "";
    String digest = "";
    for (int field = fields.nextField(); field >= 0; field = fields.nextField()) {
      switch (field) {
        case 1 -> workspace = fields.readString();
        case 2 -> key = fields.readString();
        case 3 -> digest = fields.readString();
        default -> fields.skipValue();
      }
    }
    return new Operation(new WorkspaceId(workspace), key, digest);
  }

  static void write(AttemptId attempt, FieldWriter fields) throws IOException {
    fields.writeString(1, attempt.coordinator().value());
    fields.writeLong(2, attempt.number());
  }

  static AttemptId readAttempt(FieldReader fields) throws IOException {
    String coordinator = "";
    long number = 0;
    for (int field = fields.nextField(); field >= 0; field = fields.nextField()) {
      switch (field) {
        case 1 -> coordinator = fields.readString();
        case 2 -> number = fields.readLong();
        default -> fields.skipValue();
      }
    }
    return new AttemptId(new VmId(coordinator), number);
  }

  static void write(OperationResult result, FieldWriter fields) throws IOException {
    if (result instanceof OperationResult.Finished finished) {
      fields.writeLong(1, FINISHED);
      fields.writeMap(2, finished.response(), OperationFields::write);
    } else if (result instanceof OperationResult.FinishedWithoutResponse) {
      fields.writeLong(1, FINISHED_WITHOUT_RESPONSE);
    } else if (result instanceof OperationResult.NotRun) {
      fields.writeLong(1, NOT_RUN);
    } else {
      fields.writeLong(1, UNKNOWN);
    }
  }

  /** Reads an unsupported kind as unknown, so that the operation is never run a second time. */
  static OperationResult readResult(FieldReader fields) throws IOException {
    int kind = UNKNOWN;
    RecordedResponse response = null;
    for (int field = fields.nextField(); field >= 0; field = fields.nextField()) {
      switch (field) {
        case 1 -> kind = fields.readInt();
        case 2 -> response = fields.readMap(OperationFields::readRecordedResponse);
        default -> fields.skipValue();
      }
    }
    return switch (kind) {
      case FINISHED -> new OperationResult.Finished(FieldReader.required(2, response));
      case FINISHED_WITHOUT_RESPONSE -> new OperationResult.FinishedWithoutResponse();
      case NOT_RUN -> new OperationResult.NotRun();
      default -> new OperationResult.Unknown();
    };
  }

  private static void write(RecordedResponse response, FieldWriter fields) throws IOException {
    fields.writeLong(1, response.status());
    fields.writeList(
        2,
        response.headers(),
        (header, element) -> {
          element.writeString(1, header.name());
          element.writeString(2, header.value());
        });
    fields.writeBytes(3, response.body());
  }

  private static RecordedResponse readRecordedResponse(FieldReader fields) throws IOException {
    int status = 0;
    List<RecordedHeader> headers = List.of();
    byte[] body = EMPTY_BYTES;
    for (int field = fields.nextField(); field >= 0; field = fields.nextField()) {
      switch (field) {
        case 1 -> status = fields.readInt();
        case 2 -> headers = fields.readList(OperationFields::readHeader);
        case 3 -> body = fields.readBytes();
        default -> fields.skipValue();
      }
    }
    return new RecordedResponse(status, headers, body);
  }

  private static RecordedHeader readHeader(FieldReader fields) throws IOException {
    String name = "";
    String value = "";
    for (int field = fields.nextField(); field >= 0; field = fields.nextField()) {
      switch (field) {
        case 1 -> name = fields.readString();
        case 2 -> value = fields.readString();
        default -> fields.skipValue();
      }
    }
    return new RecordedHeader(name, value);
  }

  static void write(HolderReply reply, FieldWriter fields) throws IOException {
    if (reply instanceof HolderReply.Granted) {
      fields.writeLong(1, GRANTED);
    } else if (reply instanceof HolderReply.InProgress) {
      fields.writeLong(1, IN_PROGRESS);
    } else if (reply instanceof HolderReply.Ended ended) {
      fields.writeLong(1, ENDED);
      fields.writeMap(2, ended.result(), OperationFields::write);
    } else if (reply instanceof HolderReply.Conflict) {
      fields.writeLong(1, CONFLICT);
    } else {
      fields.writeLong(1, UNKNOWN);
    }
  }

  /** Reads an unsupported kind as unknown, so that the operation is never run a second time. */
  static HolderReply readReply(FieldReader fields) throws IOException {
    int kind = UNKNOWN;
    OperationResult result = null;
    for (int field = fields.nextField(); field >= 0; field = fields.nextField()) {
      switch (field) {
        case 1 -> kind = fields.readInt();
        case 2 -> result = fields.readMap(OperationFields::readResult);
        default -> fields.skipValue();
      }
    }
    return switch (kind) {
      case GRANTED -> new HolderReply.Granted();
      case IN_PROGRESS -> new HolderReply.InProgress();
      case ENDED -> new HolderReply.Ended(FieldReader.required(2, result));
      case CONFLICT -> new HolderReply.Conflict();
      default -> new HolderReply.Unknown();
    };
  }

  static void write(OperationRecord operationRecord, FieldWriter fields) throws IOException {
    fields.writeMap(1, operationRecord.operation(), OperationFields::write);
    fields.writeList(2, sorted(operationRecord.open()), OperationFields::write);
    fields.writeList(3, sorted(operationRecord.ended()), OperationFields::write);
    OperationResult result = operationRecord.result();
    if (result != null) {
      fields.writeMap(4, result, OperationFields::write);
    }
  }

  static OperationRecord readRecord(FieldReader fields) throws IOException {
    Operation operation = null;
    List<AttemptId> open = List.of();
    List<AttemptId> ended = List.of();
    OperationResult result = null;
    for (int field = fields.nextField(); field >= 0; field = fields.nextField()) {
      switch (field) {
        case 1 -> operation = fields.readMap(OperationFields::readOperation);
        case 2 -> open = fields.readList(OperationFields::readAttempt);
        case 3 -> ended = fields.readList(OperationFields::readAttempt);
        case 4 -> result = fields.readMap(OperationFields::readResult);
        default -> fields.skipValue();
      }
    }
    return new OperationRecord(
        FieldReader.required(1, operation), new HashSet<>(open), new HashSet<>(ended), result);
  }

  /** Sorts the attempts, so that equal messages have equal encodings. */
  private static List<AttemptId> sorted(Set<AttemptId> attempts) {
    List<AttemptId> ordered = new ArrayList<>(attempts);
    ordered.sort(Comparator.comparing(AttemptId::coordinator).thenComparingLong(AttemptId::number));
    return ordered;
  }

  static void write(EndedView view, FieldWriter fields) throws IOException {
    fields.writeLong(1, view.digest());
    fields.writeList(
        2,
        view.members(),
        (member, element) -> {
          element.writeString(1, member.vm().value());
          element.writeString(2, member.failureDomain().value());
        });
    fields.writeLong(3, view.horizonMillis());
  }

  static EndedView readEndedView(FieldReader fields) throws IOException {
    long digest = 0;
    List<ViewMember> members = List.of();
    long horizonMillis = 0;
    for (int field = fields.nextField(); field >= 0; field = fields.nextField()) {
      switch (field) {
        case 1 -> digest = fields.readLong();
        case 2 -> members = fields.readList(OperationFields::readMember);
        case 3 -> horizonMillis = fields.readLong();
        default -> fields.skipValue();
      }
    }
    return new EndedView(digest, members, horizonMillis);
  }

  private static ViewMember readMember(FieldReader fields) throws IOException {
    String vm = "";
    String domain = "";
    for (int field = fields.nextField(); field >= 0; field = fields.nextField()) {
      switch (field) {
        case 1 -> vm = fields.readString();
        case 2 -> domain = fields.readString();
        default -> fields.skipValue();
      }
    }
    return new ViewMember(new VmId(vm), new FailureDomain(domain));
  }
}
