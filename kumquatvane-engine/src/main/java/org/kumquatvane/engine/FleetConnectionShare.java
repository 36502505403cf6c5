package org.kumquatvane.engine;

import org.kumquatvane.document.Document;
import org.kumquatvane.document.DocumentListener;
import org.kumquatvane.document.Service;

/**
 * Gives every VM an equal share of the connections that an instance accepts.
 *
 * <p>The divisor is the maximum number of VM processes alive at once, not the number listed, so
 * that old and new VMs together stay within the limit during a rolling replacement. If there may be
 * more VMs than connections, each VM still gets one connection, and the limit can be exceeded.
 */
public final class FleetConnectionShare implements ConnectionShare, DocumentListener {
  private volatile int maximumVmCount = Integer.MAX_VALUE;

  @Override
  public void documentInForce(Document document) {
    maximumVmCount = Math.max(1, document.fleet().maximumVmCount());
  }

  @Override
  public int connectionsPerInstance(Service service) {
    return Math.max(1, service.capacity().maximumConnections() / maximumVmCount);
  }
}
