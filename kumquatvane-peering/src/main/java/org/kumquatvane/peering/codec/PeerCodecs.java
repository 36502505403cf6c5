package org.kumquatvane.peering.codec;

import java.util.List;

/**
 * Codecs of all peer messages. Type numbers: 1 to 9 membership, 10 to 19 distribution, 20 to 29
 * limits, 30 to 39 operations, 40 to 49 ejection, 50 to 59 further messages of any module, 100 to
 * 109 handshake.
 */
public final class PeerCodecs {
  private PeerCodecs() {}

  /**
   * Returns a registry of all messages between VMs.
   *
   * @return the registry
   */
  public static MessageRegistry registry() {
    return new MessageRegistry(
        List.of(
            new HeartbeatCodec(),
            new HeartbeatReplyCodec(),
            new ReachabilityReportCodec(),
            new DepartureNoticeCodec(),
            new DocumentOfferCodec(),
            new DocumentRequestCodec(),
            new DocumentPartCodec(),
            new ConfigurationInquiryCodec(),
            new KeyWithdrawalCodec(),
            new VmListReportCodec(),
            new LeaseRequestCodec(),
            new LeaseGrantCodec(),
            new TokenRequestCodec(),
            new TokenGrantCodec(),
            new OperationBeginCodec(),
            new OperationVerdictCodec(),
            new OperationFinishCodec(),
            new FinishRecordedCodec(),
            new TransferRequestCodec(),
            new OperationTransferCodec(),
            new TransferCompleteCodec(),
            new InstanceEvidenceCodec(),
            new CrashReportCodec(),
            new MemberReportCodec(),
            new ItemsReportCodec(),
            new ItemsInquiryCodec(),
            new InstanceActivityCodec(),
            new DemandReportCodec(),
            new DemandShareCodec()));
  }
}
