package org.kumquatvane.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.stream.Collectors;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class ReasonTest {
  /** Guards against changed codes, statuses and execution tokens, on which callers rely. */
  @Test
  void matchesApprovedReasonTable() {
    Approvals.verify(
        Arrays.stream(Reason.values()).map(ReasonTest::line).collect(Collectors.joining("\n")));
  }

  private static String line(Reason reason) {
    return String.format(
        "| `%s` | %s | %s | `%s` | %s |",
        reason.code(),
        reason.kind() == Reason.Kind.REFUSAL ? String.valueOf(reason.httpStatus()) : "retry",
        reason.execution().token(),
        reason.counterName(),
        reason.remedy());
  }

  /** Guards against reasons that state not-run for a request that may have run, or the reverse. */
  @ParameterizedTest
  @EnumSource(AttemptFailure.class)
  void reasonsStateExecutionStatusOfFailure(AttemptFailure failure) {
    ExecutionStatus expected =
        failure.isKnownNotRun() ? ExecutionStatus.NOT_RUN : ExecutionStatus.MAY_HAVE_RUN;
    assertEquals(expected, failure.retryReason().execution());
    assertEquals(expected, failure.refusalReason().execution());
  }
}
