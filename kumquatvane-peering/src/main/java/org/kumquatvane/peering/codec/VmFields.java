package org.kumquatvane.peering.codec;

import java.io.IOException;
import org.kumquatvane.core.FailureDomain;
import org.kumquatvane.core.InstanceId;
import org.kumquatvane.core.ServiceName;
import org.kumquatvane.core.SocketEndpoint;
import org.kumquatvane.core.VmId;
import org.kumquatvane.membership.BackendVm;
import org.kumquatvane.membership.Vm;
import org.kumquatvane.membership.VmState;

/** Encodes and decodes the fields of {@link Vm} and {@link BackendVm}. */
final class VmFields {
  private static final int ID = 1;
  private static final int ADDRESS = 2;
  private static final int FAILURE_DOMAIN = 3;
  private static final int LEAVING = 4;
  private static final int SERVICE = 5;

  private VmFields() {}

  static void write(Vm vm, FieldWriter fields) throws IOException {
    write(vm.id().value(), vm.peerAddress(), vm.failureDomain(), vm.state(), fields);
  }

  static void write(BackendVm vm, FieldWriter fields) throws IOException {
    write(vm.id().value(), vm.address(), vm.failureDomain(), vm.state(), fields);
    fields.writeString(SERVICE, vm.service().value());
  }

  private static void write(
      String id, SocketEndpoint address, FailureDomain domain, VmState state, FieldWriter fields)
      throws IOException {
    fields.writeString(ID, id);
    fields.writeString(ADDRESS, address.toString());
    fields.writeString(FAILURE_DOMAIN, domain.value());
    fields.writeBoolean(LEAVING, state == VmState.LEAVING);
  }

  static Vm readVm(FieldReader fields) throws IOException {
    Entry entry = new Entry(fields);
    return new Vm(new VmId(entry.id), entry.address(), entry.domain(), entry.state());
  }

  static BackendVm readBackendVm(FieldReader fields) throws IOException {
    Entry entry = new Entry(fields);
    return new BackendVm(
        new InstanceId(entry.id),
        new ServiceName(entry.service),
        entry.address(),
        entry.domain(),
        entry.state());
  }

  private static final class Entry {
    private String id = "";
    private String address = "";
    private String domain = "";
    private String service = "";
    private boolean leaving;

    Entry(FieldReader fields) throws IOException {
      for (int field = fields.nextField(); field >= 0; field = fields.nextField()) {
        switch (field) {
          case ID -> id = fields.readString();
          case ADDRESS -> address = fields.readString();
          case FAILURE_DOMAIN -> domain = fields.readString();
          case LEAVING -> leaving = fields.readBoolean();
          case SERVICE -> service = fields.readString();
          default -> fields.skipValue();
        }
      }
    }

    SocketEndpoint address() {
      return SocketEndpoint.parse(address);
    }

    FailureDomain domain() {
      return new FailureDomain(domain);
    }

    VmState state() {
      return leaving ? VmState.LEAVING : VmState.LIVE;
    }
  }
}
