package org.kumquatvane.membership.internal;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.kumquatvane.membership.Rendezvous;
import org.kumquatvane.membership.Vm;

/**
 * Rendezvous orders of the live VMs by task, kept until the live VMs change. They are requested
 * several times a second, and an order takes time in proportion to the number of VMs. Guarded by
 * the lock of the membership.
 */
public final class CachedOrders {
  private final LongSupplier version;
  private final Supplier<List<Vm>> vms;
  private final Map<String, List<Vm>> orders = new HashMap<>();
  private long ordersVersion = -1;

  /**
   * Creates the orders.
   *
   * @param version number that changes whenever the VMs change
   * @param vms the VMs to order
   */
  public CachedOrders(LongSupplier version, Supplier<List<Vm>> vms) {
    this.version = version;
    this.vms = vms;
  }

  /**
   * Returns the order of a task.
   *
   * @param task name of the task
   * @return the VMs, the preferred one first
   */
  public List<Vm> get(String task) {
    long current = version.getAsLong();
    if (current != ordersVersion) {
      orders.clear();
      ordersVersion = current;
    }
    return orders.computeIfAbsent(task, key -> Rendezvous.order(key, vms.get()));
  }
}
