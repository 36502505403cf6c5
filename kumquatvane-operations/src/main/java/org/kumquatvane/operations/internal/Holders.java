package org.kumquatvane.operations.internal;

import java.util.List;
import org.kumquatvane.core.VmId;
import org.kumquatvane.membership.Rendezvous;
import org.kumquatvane.membership.Vm;
import org.kumquatvane.operations.Operation;

/** Selects the VMs that hold the record of an operation. */
public final class Holders {
  private Holders() {}

  /**
   * Returns the holders: the first VM in rendezvous order and the first one in another failure
   * domain, or the second in that order if there is no other domain.
   *
   * @param operation the operation
   * @param members members of a view
   * @return two VMs, or one if there is only one
   */
  public static List<VmId> of(Operation operation, List<Vm> members) {
    List<Vm> order =
        Rendezvous.order(operation.workspace() + "|" + operation.idempotencyKey(), members);
    if (order.size() < 2) {
      return order.stream().map(Vm::id).toList();
    }
    Vm first = order.get(0);
    Vm second =
        order.stream()
            .filter(vm -> !vm.failureDomain().equals(first.failureDomain()))
            .findFirst()
            .orElse(order.get(1));
    return List.of(first.id(), second.id());
  }
}
