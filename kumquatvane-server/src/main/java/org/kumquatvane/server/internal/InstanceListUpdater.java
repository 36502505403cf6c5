package org.kumquatvane.server.internal;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.kumquatvane.core.ServiceName;
import org.kumquatvane.engine.RequestEngine;
import org.kumquatvane.http.BackendConnectionPool;
import org.kumquatvane.membership.BackendVm;
import org.kumquatvane.membership.VmList;
import org.kumquatvane.membership.VmListListener;
import org.kumquatvane.membership.VmState;
import org.kumquatvane.selection.Instance;
import org.kumquatvane.selection.InstancePool;

/** Applies the backend VMs of each new VM list to the instance pool and the connection pool. */
public final class InstanceListUpdater implements VmListListener {
  private final InstancePool instances;
  private final BackendConnectionPool connections;
  private final RequestEngine engine;

  /**
   * Creates an updater.
   *
   * @param instances the instance pool
   * @param connections connections to backend servers
   * @param engine dispatches waiting requests
   */
  public InstanceListUpdater(
      InstancePool instances, BackendConnectionPool connections, RequestEngine engine) {
    this.instances = instances;
    this.connections = connections;
    this.engine = engine;
  }

  @Override
  public void vmListChanged(VmList list) {
    List<Instance> listed = list.backendVms().stream().map(InstanceListUpdater::instance).toList();
    instances.update(listed);
    connections.update(listed);
    Set<ServiceName> services = listed.stream().map(Instance::service).collect(Collectors.toSet());
    services.forEach(engine::dispatchWaiting);
  }

  private static Instance instance(BackendVm vm) {
    return new Instance(
        vm.id(), vm.service(), vm.address(), vm.failureDomain(), vm.state() == VmState.LEAVING);
  }
}
