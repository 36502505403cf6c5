package org.kumquatvane.peering.codec;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.kumquatvane.core.FailureDomain;
import org.kumquatvane.core.InstanceId;
import org.kumquatvane.core.KeyDigest;
import org.kumquatvane.core.PeerMessage;
import org.kumquatvane.core.ServiceName;
import org.kumquatvane.core.SocketEndpoint;
import org.kumquatvane.core.VmId;
import org.kumquatvane.core.WorkspaceId;
import org.kumquatvane.distribution.ConfigurationInquiry;
import org.kumquatvane.distribution.ContentDigest;
import org.kumquatvane.distribution.DocumentOffer;
import org.kumquatvane.distribution.DocumentPart;
import org.kumquatvane.distribution.DocumentRequest;
import org.kumquatvane.distribution.ItemsInquiry;
import org.kumquatvane.distribution.ItemsReport;
import org.kumquatvane.distribution.KeyWithdrawal;
import org.kumquatvane.distribution.RetainedItems;
import org.kumquatvane.distribution.SourceItem;
import org.kumquatvane.distribution.SourcePosition;
import org.kumquatvane.distribution.VmListReport;
import org.kumquatvane.document.RateLimit;
import org.kumquatvane.ejection.AttemptOutcome;
import org.kumquatvane.ejection.CrashReport;
import org.kumquatvane.ejection.InstanceEvidence;
import org.kumquatvane.ejection.RequestFingerprint;
import org.kumquatvane.limits.DemandReport;
import org.kumquatvane.limits.DemandShare;
import org.kumquatvane.limits.LeaseGrant;
import org.kumquatvane.limits.LeaseRequest;
import org.kumquatvane.limits.TokenGrant;
import org.kumquatvane.limits.TokenRequest;
import org.kumquatvane.membership.BackendVm;
import org.kumquatvane.membership.ConfigurationVersions;
import org.kumquatvane.membership.DepartureNotice;
import org.kumquatvane.membership.Heartbeat;
import org.kumquatvane.membership.HeartbeatReply;
import org.kumquatvane.membership.Member;
import org.kumquatvane.membership.MemberReport;
import org.kumquatvane.membership.ReachabilityReport;
import org.kumquatvane.membership.Vm;
import org.kumquatvane.membership.VmList;
import org.kumquatvane.membership.VmState;
import org.kumquatvane.operations.AttemptId;
import org.kumquatvane.operations.EndedView;
import org.kumquatvane.operations.FinishRecorded;
import org.kumquatvane.operations.HolderReply;
import org.kumquatvane.operations.Operation;
import org.kumquatvane.operations.OperationBegin;
import org.kumquatvane.operations.OperationFinish;
import org.kumquatvane.operations.OperationRecord;
import org.kumquatvane.operations.OperationResult;
import org.kumquatvane.operations.OperationTransfer;
import org.kumquatvane.operations.OperationVerdict;
import org.kumquatvane.operations.RecordedHeader;
import org.kumquatvane.operations.RecordedResponse;
import org.kumquatvane.operations.TransferComplete;
import org.kumquatvane.operations.TransferRequest;
import org.kumquatvane.operations.ViewMember;
import org.kumquatvane.selection.InstanceActivity;

/** Provides one or more sample messages of each type. */
final class SampleMessages {
  private static final ContentDigest DIGEST = ContentDigest.of(new byte[] {1});
  private static final WorkspaceId WORKSPACE = new WorkspaceId("digesters-north");
  private static final ServiceName SERVICE = new ServiceName("rota");
  private static final InstanceId INSTANCE = new InstanceId("r1");
  private static final FailureDomain DOMAIN = new FailureDomain("a");

  private SampleMessages() {}

  static Stream<PeerMessage> all() {
    return Stream.of(membership(), distribution(), limits(), operations(), ejection(), selection())
        .flatMap(List::stream);
  }

  private static List<PeerMessage> membership() {
    return List.of(
        new Heartbeat(-7, Long.MIN_VALUE, new ConfigurationVersions(12_345, 3, 77)),
        new HeartbeatReply(Integer.MAX_VALUE, Long.MAX_VALUE),
        new ReachabilityReport(1_760_000_000_000L, Set.of()),
        new ReachabilityReport(2, Set.of(new VmId("e1"), new VmId("\u00ea2"))),
        new DepartureNotice(42),
        new MemberReport(List.of(), false),
        new MemberReport(
            List.of(
                new Member(
                    new Vm(
                        new VmId("10.0.0.1:7001"),
                        new SocketEndpoint("10.0.0.1", 7001),
                        DOMAIN,
                        VmState.LEAVING),
                    1_760_000_000_000L,
                    17)),
            true));
  }

  private static List<PeerMessage> distribution() {
    SocketEndpoint endpoint = new SocketEndpoint("::1", 7001);
    Vm entry = new Vm(new VmId("e1"), endpoint, DOMAIN, VmState.LEAVING);
    BackendVm backend = new BackendVm(INSTANCE, SERVICE, endpoint, DOMAIN, VmState.LIVE);
    return List.of(
        new DocumentOffer(3, DIGEST),
        new DocumentRequest(DIGEST, 262_144),
        new DocumentPart(DIGEST, 300, 100, new byte[] {0, -1, 127}),
        new ConfigurationInquiry(new ConfigurationVersions(1, 2, 3)),
        new KeyWithdrawal(9, List.of(KeyDigest.ofKey("x"), KeyDigest.ofKey("y"))),
        new VmListReport(new VmList(8, List.of(entry), List.of(backend))),
        new ItemsReport(
            true,
            SourcePosition.NONE,
            new SourcePosition(2, 9),
            1,
            3,
            List.of(
                new SourceItem("a", Optional.of(new byte[] {1, -1}), new SourcePosition(2, 8)),
                new SourceItem("b", Optional.empty(), new SourcePosition(2, 9))),
            new RetainedItems(
                List.of(new SourceItem("c", Optional.empty(), new SourcePosition(2, 7))), 1_500)),
        new ItemsInquiry(new SourcePosition(1, 4)));
  }

  private static List<PeerMessage> limits() {
    return List.of(
        new LeaseRequest(5, WORKSPACE, 0.25, 1_000_000_000),
        new LeaseGrant(5, WORKSPACE, 0.125, 3.5, 900_000_000),
        new TokenRequest(6, WORKSPACE, 2, true, 100),
        new TokenGrant(6, WORKSPACE, 0, 50),
        new DemandReport(
            12,
            40,
            List.of(
                new DemandReport.Demand(WORKSPACE, 7, 5, Optional.of(new RateLimit(4.5, 9))),
                new DemandReport.Demand(new WorkspaceId("other"), 1, 0, Optional.empty()))),
        new DemandShare(List.of(new DemandShare.Share(WORKSPACE, 0.25, 88.5, 12))));
  }

  private static List<PeerMessage> operations() {
    Operation operation = new Operation(WORKSPACE, "0190b6a4-0000-7000-8000-000000000001", "ab");
    AttemptId attempt = new AttemptId(new VmId("e1"), 3);
    OperationResult finished =
        new OperationResult.Finished(
            new RecordedResponse(
                201, List.of(new RecordedHeader("Content-Type", "a/b")), new byte[] {1}));
    OperationRecord open = new OperationRecord(operation, Set.of(attempt), Set.of(), null);
    OperationRecord ended = new OperationRecord(operation, Set.of(), Set.of(attempt), finished);
    EndedView view = new EndedView(7, List.of(new ViewMember(new VmId("e1"), DOMAIN)), 1_000);
    return List.of(
        new OperationBegin(operation, attempt, 4),
        new OperationVerdict(attempt, 4, new HolderReply.Granted()),
        new OperationVerdict(attempt, 4, new HolderReply.InProgress()),
        new OperationVerdict(attempt, 4, new HolderReply.Conflict()),
        new OperationVerdict(attempt, 4, new HolderReply.Unknown()),
        new OperationVerdict(attempt, 4, new HolderReply.Ended(finished)),
        new OperationFinish(operation, attempt, new OperationResult.FinishedWithoutResponse()),
        new OperationFinish(operation, attempt, new OperationResult.NotRun()),
        new OperationFinish(operation, attempt, new OperationResult.Unknown()),
        new FinishRecorded(attempt),
        new TransferRequest(4, 2),
        new OperationTransfer(2, 0, List.of(open, ended)),
        new TransferComplete(2, 1, null, 5, 6),
        new TransferComplete(2, 1, view, 5, 6));
  }

  private static List<PeerMessage> ejection() {
    return List.of(
        new InstanceEvidence(
            4,
            List.of(new InstanceEvidence.Counts(SERVICE, INSTANCE, 10.5, 3, 7, -0.5)),
            List.of(new InstanceEvidence.Ejected(SERVICE, INSTANCE, 12.5, 8_000, true))),
        new CrashReport(
            new RequestFingerprint("ab12"), INSTANCE, CrashReport.Outcome.INSTANCE_LOST));
  }

  private static List<PeerMessage> selection() {
    return List.of(
        new InstanceActivity(1, List.of(), List.of()),
        new InstanceActivity(
            1_760_000_000_000L,
            List.of(new InstanceActivity.Running(INSTANCE, 250)),
            List.of(
                new InstanceActivity.Outcome(INSTANCE, AttemptOutcome.Kind.TIMED_OUT, 900),
                new InstanceActivity.Outcome(INSTANCE, AttemptOutcome.Kind.SUCCESS, 90))));
  }
}
