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

/** Fields of the values that several messages of operations share. */
final class OperationFields {
  private static final byte[] NONE = {};

  /** Kinds of a result or of a holder's answer; numbers are never used again. */
  private static final int FINISHED = 1;

  private static final int FINISHED_WITHOUT_ANSWER = 2;
  private static final int NOT_RUN = 3;
  private static final int UNKNOWN = 4;
  private static final int FRESH = 5;
  private static final int IN_PROGRESS = 6;
  private static final int ENDED = 7;
  private static final int CONFLICT = 8;

  private OperationFields() {}

  static void write(Operation operation, FieldWriter fields) throws IOException {
    fields.text(1, operation.workspace().value());
    fields.text(2, operation.idempotencyKey());
    fields.text(3, operation.requestDigest());
  }

  static Operation readOperation(FieldReader fields) throws IOException {
    String workspace = "";
    String key = "";
    String digest = "";
    for (int field = fields.next(); field >= 0; field = fields.next()) {
      switch (field) {
        case 1 -> workspace = fields.text();
        case 2 -> key = fields.text();
        case 3 -> digest = fields.text();
        default -> fields.skip();
      }
    }
    return new Operation(new WorkspaceId(workspace), key, digest);
  }

  static void write(AttemptId attempt, FieldWriter fields) throws IOException {
    fields.text(1, attempt.coordinator().value());
    fields.integer(2, attempt.number());
  }

  static AttemptId readAttempt(FieldReader fields) throws IOException {
    String coordinator = "";
    long number = 0;
    for (int field = fields.next(); field >= 0; field = fields.next()) {
      switch (field) {
        case 1 -> coordinator = fields.text();
        case 2 -> number = fields.integer();
        default -> fields.skip();
      }
    }
    return new AttemptId(new VmId(coordinator), number);
  }

  static void write(OperationResult result, FieldWriter fields) throws IOException {
    if (result instanceof OperationResult.Finished finished) {
      fields.integer(1, FINISHED);
      fields.nested(2, finished.response(), OperationFields::write);
    } else if (result instanceof OperationResult.FinishedWithoutResponse) {
      fields.integer(1, FINISHED_WITHOUT_ANSWER);
    } else if (result instanceof OperationResult.NotRun) {
      fields.integer(1, NOT_RUN);
    } else {
      fields.integer(1, UNKNOWN);
    }
  }

  /** A kind that this version does not know is read as unknown, which never allows a second run. */
  static OperationResult readResult(FieldReader fields) throws IOException {
    int kind = UNKNOWN;
    RecordedResponse answer = null;
    for (int field = fields.next(); field >= 0; field = fields.next()) {
      switch (field) {
        case 1 -> kind = fields.smallInteger();
        case 2 -> answer = fields.nested(OperationFields::readRecordedAnswer);
        default -> fields.skip();
      }
    }
    return switch (kind) {
      case FINISHED -> new OperationResult.Finished(FieldReader.required(2, answer));
      case FINISHED_WITHOUT_ANSWER -> new OperationResult.FinishedWithoutResponse();
      case NOT_RUN -> new OperationResult.NotRun();
      default -> new OperationResult.Unknown();
    };
  }

  private static void write(RecordedResponse answer, FieldWriter fields) throws IOException {
    fields.integer(1, answer.status());
    fields.list(
        2,
        answer.headers(),
        (header, element) -> {
          element.text(1, header.name());
          element.text(2, header.value());
        });
    fields.bytes(3, answer.body());
  }

  private static RecordedResponse readRecordedAnswer(FieldReader fields) throws IOException {
    int status = 0;
    List<RecordedHeader> headers = List.of();
    byte[] body = NONE;
    for (int field = fields.next(); field >= 0; field = fields.next()) {
      switch (field) {
        case 1 -> status = fields.smallInteger();
        case 2 -> headers = fields.list(OperationFields::readHeader);
        case 3 -> body = fields.bytes();
        default -> fields.skip();
      }
    }
    return new RecordedResponse(status, headers, body);
  }

  private static RecordedHeader readHeader(FieldReader fields) throws IOException {
    String name = "";
    String value = "";
    for (int field = fields.next(); field >= 0; field = fields.next()) {
      switch (field) {
        case 1 -> name = fields.text();
        case 2 -> value = fields.text();
        default -> fields.skip();
      }
    }
    return new RecordedHeader(name, value);
  }

  static void write(HolderReply answer, FieldWriter fields) throws IOException {
    if (answer instanceof HolderReply.Granted) {
      fields.integer(1, FRESH);
    } else if (answer instanceof HolderReply.InProgress) {
      fields.integer(1, IN_PROGRESS);
    } else if (answer instanceof HolderReply.Ended ended) {
      fields.integer(1, ENDED);
      fields.nested(2, ended.result(), OperationFields::write);
    } else if (answer instanceof HolderReply.Conflict) {
      fields.integer(1, CONFLICT);
    } else {
      fields.integer(1, UNKNOWN);
    }
  }

  /** A kind that this version does not know is read as unknown, which never allows a second run. */
  static HolderReply readAnswer(FieldReader fields) throws IOException {
    int kind = UNKNOWN;
    OperationResult result = null;
    for (int field = fields.next(); field >= 0; field = fields.next()) {
      switch (field) {
        case 1 -> kind = fields.smallInteger();
        case 2 -> result = fields.nested(OperationFields::readResult);
        default -> fields.skip();
      }
    }
    return switch (kind) {
      case FRESH -> new HolderReply.Granted();
      case IN_PROGRESS -> new HolderReply.InProgress();
      case ENDED -> new HolderReply.Ended(FieldReader.required(2, result));
      case CONFLICT -> new HolderReply.Conflict();
      default -> new HolderReply.Unknown();
    };
  }

  static void write(OperationRecord operationRecord, FieldWriter fields) throws IOException {
    fields.nested(1, operationRecord.operation(), OperationFields::write);
    fields.list(2, sorted(operationRecord.open()), OperationFields::write);
    fields.list(3, sorted(operationRecord.ended()), OperationFields::write);
    OperationResult result = operationRecord.result();
    if (result != null) {
      fields.nested(4, result, OperationFields::write);
    }
  }

  static OperationRecord readRecord(FieldReader fields) throws IOException {
    Operation operation = null;
    List<AttemptId> open = List.of();
    List<AttemptId> ended = List.of();
    OperationResult result = null;
    for (int field = fields.next(); field >= 0; field = fields.next()) {
      switch (field) {
        case 1 -> operation = fields.nested(OperationFields::readOperation);
        case 2 -> open = fields.list(OperationFields::readAttempt);
        case 3 -> ended = fields.list(OperationFields::readAttempt);
        case 4 -> result = fields.nested(OperationFields::readResult);
        default -> fields.skip();
      }
    }
    return new OperationRecord(
        FieldReader.required(1, operation), new HashSet<>(open), new HashSet<>(ended), result);
  }

  /** A fixed order, so that equal messages have equal encodings. */
  private static List<AttemptId> sorted(Set<AttemptId> attempts) {
    List<AttemptId> ordered = new ArrayList<>(attempts);
    ordered.sort(Comparator.comparing(AttemptId::coordinator).thenComparingLong(AttemptId::number));
    return ordered;
  }

  static void write(EndedView view, FieldWriter fields) throws IOException {
    fields.integer(1, view.digest());
    fields.list(
        2,
        view.members(),
        (member, element) -> {
          element.text(1, member.vm().value());
          element.text(2, member.failureDomain().value());
        });
    fields.integer(3, view.horizonMillis());
  }

  static EndedView readEndedView(FieldReader fields) throws IOException {
    long digest = 0;
    List<ViewMember> members = List.of();
    long horizonMillis = 0;
    for (int field = fields.next(); field >= 0; field = fields.next()) {
      switch (field) {
        case 1 -> digest = fields.integer();
        case 2 -> members = fields.list(OperationFields::readMember);
        case 3 -> horizonMillis = fields.integer();
        default -> fields.skip();
      }
    }
    return new EndedView(digest, members, horizonMillis);
  }

  private static ViewMember readMember(FieldReader fields) throws IOException {
    String vm = "";
    String domain = "";
    for (int field = fields.next(); field >= 0; field = fields.next()) {
      switch (field) {
        case 1 -> vm = fields.text();
        case 2 -> domain = fields.text();
        default -> fields.skip();
      }
    }
    return new ViewMember(new VmId(vm), new FailureDomain(domain));
  }
}
