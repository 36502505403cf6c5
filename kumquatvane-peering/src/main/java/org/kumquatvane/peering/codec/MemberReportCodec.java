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
  private static final int WANTS_ANSWER = 2;
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
    fields.list(MEMBERS, message.members(), MemberReportCodec::writeMember);
    fields.bool(WANTS_ANSWER, message.replyRequested());
  }

  private static void writeMember(Member member, FieldWriter fields) throws IOException {
    fields.nested(VM, member.vm(), VmFields::write);
    fields.integer(INCARNATION, member.incarnation());
    fields.integer(HEARTBEAT, member.heartbeat());
  }

  @Override
  public MemberReport read(FieldReader fields) throws IOException {
    List<Member> members = List.of();
    boolean replyRequested = false;
    for (int field = fields.next(); field >= 0; field = fields.next()) {
      switch (field) {
        case MEMBERS -> members = fields.list(MemberReportCodec::readMember);
        case WANTS_ANSWER -> replyRequested = fields.bool();
        default -> fields.skip();
      }
    }
    return new MemberReport(members, replyRequested);
  }

  private static Member readMember(FieldReader fields) throws IOException {
    @Nullable Vm vm = null;
    long incarnation = 0;
    long heartbeat = 0;
    for (int field = fields.next(); field >= 0; field = fields.next()) {
      switch (field) {
        case VM -> vm = fields.nested(VmFields::readVm);
        case INCARNATION -> incarnation = fields.integer();
        case HEARTBEAT -> heartbeat = fields.integer();
        default -> fields.skip();
      }
    }
    return new Member(FieldReader.required(VM, vm), incarnation, heartbeat);
  }
}
