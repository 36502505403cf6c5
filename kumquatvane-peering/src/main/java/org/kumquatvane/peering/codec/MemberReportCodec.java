package org.kumquatvane.peering.codec;

import java.io.IOException;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.membership.Member;
import org.kumquatvane.membership.MemberReport;
import org.kumquatvane.membership.Vm;

/** Codec of {@link MemberReport}. */
public final class MemberReportCodec implements MessageCodec<MemberReport> {
  private static final int MEMBERS = 1;
  private static final int REPLY_REQUESTED = 2;
  private static final int VM = 1;
  private static final int INCARNATION = 2;
  private static final int HEARTBEAT = 3;

  @Override
  public int type() {
    return 50;
  }

  @Override
  public Class<MemberReport> messageClass() {
    return MemberReport.class;
  }

  @Override
  public void write(MemberReport message, FieldWriter fields) throws IOException {
    fields.writeList(MEMBERS, message.members(), MemberReportCodec::writeMember);
    fields.writeBoolean(REPLY_REQUESTED, message.replyRequested());
  }

  private static void writeMember(Member member, FieldWriter fields) throws IOException {
    fields.writeMap(VM, member.vm(), VmFields::write);
    fields.writeLong(INCARNATION, member.incarnation());
    fields.writeLong(HEARTBEAT, member.heartbeat());
  }

  @Override
  public MemberReport read(FieldReader fields) throws IOException {
    List<Member> members = List.of();
    boolean replyRequested = false;
    for (int field = fields.nextField(); field >= 0; field = fields.nextField()) {
      switch (field) {
        case MEMBERS -> members = fields.readList(MemberReportCodec::readMember);
        case REPLY_REQUESTED -> replyRequested = fields.readBoolean();
        default -> fields.skipValue();
      }
    }
    return new MemberReport(members, replyRequested);
  }

  private static Member readMember(FieldReader fields) throws IOException {
    @Nullable Vm vm = null;
    long incarnation = 0;
    long heartbeat = 0;
    for (int field = fields.nextField(); field >= 0; field = fields.nextField()) {
      switch (field) {
        case VM -> vm = fields.readMap(VmFields::readVm);
        case INCARNATION -> incarnation = fields.readLong();
        case HEARTBEAT -> heartbeat = fields.readLong();
        default -> fields.skipValue();
      }
    }
    return new Member(FieldReader.required(VM, vm), incarnation, heartbeat);
  }
}
