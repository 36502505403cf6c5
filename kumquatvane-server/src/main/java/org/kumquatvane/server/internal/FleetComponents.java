package org.kumquatvane.server.internal;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Supplier;
import org.kumquatvane.core.PeerDispatcher;
import org.kumquatvane.core.VmId;
import org.kumquatvane.document.Document;
import org.kumquatvane.document.DocumentListener;
import org.kumquatvane.membership.ConfigurationVersions;
import org.kumquatvane.membership.HeartbeatMembership;
import org.kumquatvane.membership.MembershipSettings;
import org.kumquatvane.membership.Vm;
import org.kumquatvane.membership.VmList;
import org.kumquatvane.membership.VmListListener;
import org.kumquatvane.membership.VmState;
import org.kumquatvane.membership.WholeFleetScope;
import org.kumquatvane.peering.FleetSecret;
import org.kumquatvane.peering.PeerNetwork;
import org.kumquatvane.peering.PeerNetworkSettings;
import org.kumquatvane.peering.codec.PeerCodecs;
import org.kumquatvane.settings.Settings;

/** Creates and connects the peer network and the fleet membership. */
public final class FleetComponents implements DocumentListener, VmListListener, AutoCloseable {
  private final PeerDispatcher dispatcher = new PeerDispatcher();
  private final PeerNetwork network;
  private final HeartbeatMembership membership;

  /**
   * Creates the components; nothing is sent before {@link #start}.
   *
   * @param settings settings of the VM
   * @param runtime threads, clock and telemetry
   * @param versions supplies the versions of the current configuration
   * @throws IOException if the fleet secret cannot be read
   */
  public FleetComponents(
      Settings settings, ProcessRuntime runtime, Supplier<ConfigurationVersions> versions)
      throws IOException {
    FleetSecret secret =
        new FleetSecret(SecretReader.read(settings.fleetSecret()).getBytes(StandardCharsets.UTF_8));
    network =
        new PeerNetwork(
            settings.vmId(),
            PeerNetworkSettings.defaults(settings.peerListener()),
            secret,
            PeerCodecs.registry(),
            dispatcher,
            runtime.workers(),
            runtime.clock(),
            runtime.counters(),
            runtime.eventLog());
    Vm self =
        new Vm(settings.vmId(), settings.peerListener(), settings.failureDomain(), VmState.LIVE);
    membership =
        new HeartbeatMembership(
            self,
            MembershipSettings.of(
                settings.fleetTimings().heartbeatInterval(), settings.fleetTimings().promise()),
            new WholeFleetScope(),
            versions,
            network,
            runtime.clock(),
            runtime.scheduler(),
            runtime.eventLog());
    membership.registerHandlers(dispatcher);
  }

  /** Starts the listener and the heartbeats. */
  public void start() {
    network.start();
    membership.start();
  }

  @Override
  public void documentInForce(Document document) {
    membership.setMaximumVmCount(document.fleet().maximumVmCount());
  }

  @Override
  public void vmListChanged(VmList list) {
    network.vmListChanged(list);
    membership.vmListChanged(list);
  }

  /**
   * Returns the other listed VMs.
   *
   * @return the IDs of the VMs
   */
  public List<VmId> peers() {
    return membership.listedVms().stream()
        .map(Vm::id)
        .filter(vm -> !vm.equals(membership.self().id()))
        .toList();
  }

  /**
   * Returns the dispatcher.
   *
   * @return dispatches received messages to their handlers
   */
  public PeerDispatcher dispatcher() {
    return dispatcher;
  }

  /**
   * Returns the network.
   *
   * @return sends messages to other VMs
   */
  public PeerNetwork network() {
    return network;
  }

  /**
   * Returns the membership.
   *
   * @return the membership
   */
  public HeartbeatMembership membership() {
    return membership;
  }

  @Override
  public void close() {
    membership.close();
    network.close();
  }
}
