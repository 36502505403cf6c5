package org.kumquatvane.server.internal;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.kumquatvane.core.PeerDispatcher;
import org.kumquatvane.core.VmId;
import org.kumquatvane.membership.GossipMembership;
import org.kumquatvane.membership.GossipSettings;
import org.kumquatvane.membership.MemberReport;
import org.kumquatvane.membership.Vm;
import org.kumquatvane.membership.VmState;
import org.kumquatvane.peering.FleetSecret;
import org.kumquatvane.peering.PeerNetwork;
import org.kumquatvane.peering.PeerNetworkSettings;
import org.kumquatvane.peering.codec.PeerCodecs;
import org.kumquatvane.settings.EntrySettings;

/** Creates and connects the peer network and the membership of entry VMs. */
public final class EntryFleetComponents implements AutoCloseable {
  private static final String LIMITS_TASK = "limits";

  private final PeerDispatcher dispatcher = new PeerDispatcher();
  private final PeerNetwork network;
  private final GossipMembership membership;

  /**
   * Creates the components; nothing is sent before {@link #start}.
   *
   * @param settings settings of the VM
   * @param runtime threads, clock and telemetry
   * @throws IOException if the peer address cannot be bound
   */
  public EntryFleetComponents(EntrySettings settings, ProcessRuntime runtime) throws IOException {
    VmId self = new VmId(settings.peerEndpoint().toString());
    network =
        new PeerNetwork(
            self,
            PeerNetworkSettings.forDenseMesh(settings.peerListenEndpoint()),
            new FleetSecret(settings.fleetSecret().getBytes(StandardCharsets.UTF_8)),
            PeerCodecs.registry(),
            dispatcher,
            runtime.workers(),
            runtime.clock(),
            runtime.counters(),
            runtime.eventLog());
    membership =
        new GossipMembership(
            new Vm(self, settings.peerEndpoint(), settings.failureDomain(), VmState.LIVE),
            GossipSettings.of(settings.seeds()),
            network,
            List.of(network),
            runtime.clock(),
            runtime.scheduler(),
            Randomness.create(),
            runtime.eventLog());
    dispatcher.register(MemberReport.class, membership);
    dispatcher.onAnyMessage(membership::recordActivity);
  }

  /** Starts the listener and the gossip. */
  public void start() {
    network.start();
    membership.start();
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
  public GossipMembership membership() {
    return membership;
  }

  /**
   * Returns the live VMs in their order of precedence as limit coordinator.
   *
   * @return the IDs of the VMs, including this VM
   */
  public List<VmId> limitCoordinators() {
    return membership.order(LIMITS_TASK);
  }

  @Override
  public void close() {
    network.close();
  }
}
